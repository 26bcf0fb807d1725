Feature: An organisation's work runs on versions that the table allows

  What runs is counted at the engines. An accepted edit is in force within
  seven seconds, whatever the store and its watches do.

  Background:
    Given a fleet that offers "kurz@v1" and "kurz@v2"
    And every entry's revision is watched
    And callers keep every entry busy with "kurz"

  Scenario: A withdrawn version gets nothing new under traffic
    When the operator sets "state" of "kurz@v1" to "withdrawn"
    Then the edit is in force in time
    And "kurz@v1" gets no more runs
    And no entry's revision ever fell
    And no caller got a broken answer

  Scenario: A version whose row is removed gets nothing new under traffic
    When the operator removes "kurz@v1"
    Then the edit is in force in time
    And "kurz@v1" gets no more runs
    And no caller got a broken answer

  Scenario: Watch answers that come late don't delay an edit
    Given the store's faults are {"watch_delay_s": 30.0}
    When the operator sets "state" of "kurz@v1" to "withdrawn"
    Then the edit is in force in time
    And "kurz@v1" gets no more runs

  Scenario: Watch answers that leave changes out don't delay an edit
    Given the store's faults are {"watch_drop": 1.0}
    When the operator sets "state" of "kurz@v1" to "withdrawn"
    Then the edit is in force in time
    And "kurz@v1" gets no more runs

  Scenario: An edit reaches an entry that only its peers reach
    Given the store's faults are {"deny_clients": ["entry-0"]}
    When the operator sets "state" of "kurz@v1" to "withdrawn"
    Then the edit is in force in time
    And "kurz@v1" gets no more runs
    And entry 0 goes on with a fresh table

  Scenario: Edits whose replies are lost take effect once and stay
    Given the store's faults are {"lose_replies": 0.4}
    When the operator sets the weight to each of 11 to 14
    Then every edit had a revision of its own, one after the other
    And the edit is in force in time
    And the table's history shows each edit once
    And no entry's revision ever fell

  Scenario: Two operators on one cell
    When two operators set the weight to 21 and 22 at once
    Then one edit is accepted and the other is refused with both values
    And the accepted value stands in the table

  Scenario: Processes that start in an outage take no older table
    When the operator sets "state" of "kurz@v1" to "withdrawn"
    Then the edit is in force in time
    When the store goes down for everyone
    And entry 2 and the sidecar of engine 1 are started anew
    Then they have the edit's revision while the store is down
    And "kurz@v1" gets no more runs
    When the store answers again
    And the operator sets "state" of "kurz@v1" to "offered"
    Then the edit is in force in time
    And no entry's revision ever fell
