@fleet.platzwart
Feature: A call that may not be repeated runs at most once under failure

  Scenario: Repeats of one key at every entry at once run once
    When a booking with key "once-burst" is sent 4 times to each entry at once
    Then the booking "once-burst" has run 1 time
    And each answer to it is the same, or says that it may have run
    And a repeat of it at entry 2 gets the same answer

  Scenario Outline: A repeat that <ends> doesn't free the key
    Given the services take long for each booking
    When a booking runs whose claim entry 2 keeps and whose outcome it doesn't
    And repeats of it <end> while entry 2 is paused
    And the booking is repeated at every entry
    Then that booking has run 1 time

    Examples:
      | ends                  | end                       |
      | is left by its caller | are left by their callers |
      | runs out of time      | run out of time           |

  Scenario: A booking given up before its claim came back can be sent again
    When a booking runs out of time while entry 2, which keeps claims, is paused
    Then the booking's caller hears that it did not run
    And a repeat of it at entry 1 is answered
    And that booking has run 1 time

  Scenario: The same key on another path is another call
    When a booking with key "once-path" is answered
    Then the key "once-path" on another path is refused as used

  Scenario: An entry dies between claim and answer
    Given the services take long for each booking
    When a booking with key "once-entry" runs
    And the booking's entry is killed
    And the booking is repeated at the other entries
    Then the booking "once-entry" has run 1 time
    And each repeat of it says that it may have run

  Scenario: A sidecar dies between hand-over and answer and comes back
    Given the services take long for each booking
    When a booking with key "once-sidecar" runs
    And the booking's sidecar is killed and started again
    Then the booking's caller hears that it may have run
    And the booking "once-sidecar" has run 1 time

  Scenario: The service dies after the run
    Given the services die after each run
    When a booking with key "once-died" is sent
    Then the booking's caller hears that it may have run
    And the booking "once-died" has run 1 time
    And a repeat of it at entry 1 says that it may have run

  Scenario: A sidecar is paused between hand-over and answer
    Given the services take long for each booking
    When a booking with key "once-paused" runs
    And the booking's sidecar is paused until its caller is answered
    Then the booking's caller hears that it may have run
    And the booking "once-paused" has run 1 time

  Scenario: Bookings while the store loses answers
    When the store loses a third of its answers and 12 bookings are sent twice
    Then none of these bookings has run twice
    And each of them that was answered has run, and none that is "not run"

  Scenario: A booking while the store is down is refused at once
    When the store goes down and a booking with key "once-down" is sent
    Then the booking is refused as not run long before its deadline
    And the booking "once-down" has run 0 times
