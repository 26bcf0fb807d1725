@platform
Feature: Signals from the start of an entry's process to its end

  # A SIGHUP ended a process that was importing its libraries.
  Scenario Outline: Settings that change while an entry starts are in force
    Given 1 entries on the platform
    When entry 0 starts again
    And its settings change, with <count> SIGHUPs from <moment> s on
    Then the process gets ready, with the changed settings within 2 s
    And it has read changed settings at most once

    Examples:
      | count | moment |
      | 1     | 0      |
      | 1     | 0.05   |
      | 1     | 0.15   |
      | 30    | 0      |
      | 20    | 0.3    |

  # Without a handler, a signal ends the process.
  Scenario: A signal meets a handler at any moment
    Given 1 entries on the platform
    When entry 0 starts again and is watched until it has been stopped
    Then SIGHUP, SIGTERM and SIGINT were handled or ignored all the while

  # Modules that load before the handlers are set prolong the time without.
  Scenario: An entry catches signals before it imports anything else
    Then an entry imports only the package of its signals before them

  # A SIGTERM ended a process that was starting, and reset its callers.
  Scenario Outline: A stop while an entry starts
    Given 1 entries on the platform
    When entry 0 starts again, and a caller's request waits for it
    And <signal> arrives after <moment> s
    Then the caller that waited is answered
    And the process exits with code 0 within 5 s of the signal

    Examples:
      | signal  | moment |
      | SIGTERM | 0      |
      | SIGTERM | 0.15   |
      | SIGINT  | 0.05   |

  # The least time of a stop had passed before the process could accept anyone.
  Scenario: A stop while an entry starts slowly
    Given 1 entries on the platform
    When entry 0 starts again, and a caller's request waits for it
    And SIGTERM arrives after 0 s
    And the process is held up for 3 s
    Then the caller that waited is answered
    And the process exits with code 0 within 8 s of the signal

  # The loop gave each signal its default action back before the process ended.
  Scenario: Signals arrive throughout a stop
    Given 1 entries on the platform
    When entry 0 gets SIGTERM, SIGHUP and SIGINT every 5 ms until it is gone
    Then the process exits with code 0 within 8 s of the signal

  # Nothing read the file between two signals.
  Scenario: Settings change without a signal
    Given 1 entries on the platform
    When the settings of entry 0 change without a signal
    Then the process gets ready, with the changed settings within 2 s

  # A file that was invalid when it was read was never read again.
  Scenario: Settings are only half written when the signal arrives
    Given 1 entries on the platform
    When half of the settings of entry 0 are written before a SIGHUP, and the rest 0.5 s later
    Then the process gets ready, with the changed settings within 2 s
    And the half was refused once

  # A process that read such a file at its start ended with code 1.
  Scenario: Settings are only half written when an entry starts
    Given 1 entries on the platform
    When entry 0 starts again with half of its settings, and the rest 0.5 s later
    Then the process gets ready, with the changed settings within 2 s

  Scenario: Settings that stay invalid end the start
    Given 1 entries on the platform
    When entry 0 starts again with half of its settings
    Then the process exits with code 1 within 5 s of the signal

  Scenario: A series of signals during an upload
    Given 1 entries on the platform
    When a booking's body is sent to entry 0 over 1 s, beside a SIGHUP every 10 ms
    Then the booking is answered with 200 and has run once
