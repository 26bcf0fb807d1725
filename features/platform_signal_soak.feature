@platform
Feature: Signals, restarts and changes in overlapping series

  # Long run: ... run_features -D soak_seeds=50 features/platform_signal_soak.feature
  Scenario: Entries under seeded series of signals, restarts and changes
    When 3 entries serve callers for 60 s, with series from seed 1 on
    Then no process ended by itself
    And no request was lost but at a process that was killed
    And nothing ran twice that mustn't
    And each entry serves at the end, with the settings that were written last
