@fleet.platzwart
Feature: Each answered request is billed exactly once under failure

  Scenario: The store loses answers
    Given the store loses a third of its answers
    When 24 callers stream billed answers from all entries
    Then there is one bill for each billed answer and no other

  Scenario: Callers repeat answered requests with the same key
    When 6 billed answers are asked for twice, each time with the same key
    Then there is one bill for each of the 6 keys

  Scenario: The same key names other requests of the same organisation
    When one key is used for a billed chat, another chat and a booking
    Then each of the 3 has a bill of its own

  Scenario: A sidecar dies while it answers
    When 12 callers stream billed answers slowly from all entries
    And a sidecar that answers some of them is killed
    Then all billed answers end
    And there is one bill for each billed answer and no other

  Scenario: The store is down for some seconds
    When 12 callers stream billed answers slowly from all entries
    And the store is down until all of them are answered
    Then all billed answers end
    And there is one bill for each billed answer and no other

  Scenario: An entry dies right after its answers, while the store is down
    When 12 callers stream billed answers slowly from all entries
    And the store is down until they are answered and entry 1 is killed
    Then all billed answers end
    And there is one bill for each billed answer and no other

  # A record made by an entry that dies before the last byte reaches the
  # caller may stay: at most one for each request that the death broke off.
  Scenario: An entry dies in the middle of its answers
    When 12 callers stream billed answers slowly from all entries
    And entry 2 is killed in the middle of its billed answers
    And the callers that lost their billed answers repeat them at entry 0
    Then all repeated billed answers end
    And each of these keys has one bill, whoever made it
