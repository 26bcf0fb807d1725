Feature: Store client

  All calls of a process to the object API go through one client. It keeps the
  call budget, settles lost answers and spares a store that is down.

  Scenario Outline: The store client settles a lost answer by reading back
    Given a store client with 10 writes and 10 reads a second
    And the store object "a" holds "<before>"
    When the store client creates "a" with "mine#1" and the faults "<faults>"
    Then the store client answers "<outcome>" and the object holds "<after>"
    And the store applied "mine#1" <times> times

    Examples:
      | before  | faults                      | outcome  | after   | times |
      |         | answer lost                 | ok       | mine#1  | 1     |
      |         | request lost                | ok       | mine#1  | 1     |
      | other#1 | answer lost                 | conflict | other#1 | 0     |
      |         | answer lost, answer lost    | ok       | mine#1  | 1     |
      |         | delayed, none, answer lost  | ok       | mine#1  | 1     |
      |         | throttled, throttled        | ok       | mine#1  | 1     |
      |         | throttled, answer lost      | ok       | mine#1  | 1     |

  Scenario: The store client recognises its own write that landed late
    Given a store client with 10 writes and 10 reads a second
    When the first try of a store client's create lands after its read-back
    Then the store client answers "ok" and the object holds "mine#1"
    And the store applied "mine#1" 1 times

  Scenario: The store client never exceeds its budget
    Given a store client with 10 writes and 10 reads a second
    When 60 store client calls of each kind are submitted at once
    Then the store client sends at most 10 of each kind in any second after a burst of 10

  Scenario: The store client bounds its queue
    Given a store client with 10 writes and 10 reads a second
    When 500 store client calls of each kind are submitted at once
    Then the store client refuses 234 calls of each kind as throttled

  Scenario: The store client answers at once while the store is down
    Given a store client with 10 writes and 10 reads a second
    When the store fails 3 store client calls in a row
    Then the store client is down and answers the next call "unavailable" with no call sent
    And the store client sends at most 20 probes in 60 seconds
    And the store client is up after the first probe that succeeds
    And the store client then sends 1 of 20 calls at once and the others at its rate

  Scenario: Store clients do not stampede when the store recovers
    Given 200 store clients that found the store down at the same time
    When the store recovers 60 seconds later and each client has 20 calls to make
    Then the store never sees more than 200 calls in a tenth of a second

  Scenario: The store client agrees with a naive history
    Then 60 random runs of two store clients agree with the store's history
