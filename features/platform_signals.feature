@platform
Feature: Signals from the start of an entry's process to its end

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
