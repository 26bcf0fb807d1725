@quick
Feature: Reading a settings file while the program runs

  # Each signal of a series cost a reading.
  Scenario: Signals in series share a reading
    Given a watched settings file
    When 20 signals arrive within 0.05 s
    Then the file has been read 1 time after 0.3 s

  # Settings that were written while the process started stayed out of force.
  Scenario: The file changed before the watch began
    Given a settings file that changed after it was read
    When it is watched
    Then the changed settings are applied within 0.1 s

  # An error that wasn't foreseen left later changes unread.
  Scenario Outline: A reading fails
    Given a watched settings file
    When the file <fault>
    Then the settings before are kept, and the log says why once
    When the file is whole again with other settings
    Then the changed settings are applied within 1.2 s

    Examples:
      | fault                   |
      | is only half written    |
      | is missing              |
      | makes the parser fail   |
      | can't be applied        |
