@quick
Feature: Large configurations are put in force without holding up requests

  A machine with 0.387 of a core may be held up for 50 ms, which is 19 ms of a
  core.

  Scenario Outline: Nothing is held up for long
    Given an entry that has read a configuration of <before> routes
    When it reads one of <after> routes and 1000 keys
    Then it is in force, and the loop was never held for more than 19 ms of a core

    Examples:
      | before | after |
      | 8      | 1400  |
      | 1400   | 1400  |
      | 1400   | 2400  |

  Scenario: Routes that stand as before are taken over
    Given an entry that has read a configuration of 300 routes
    When it reads one in which 2 routes are new and 1 is changed
    Then 299 of its routes are those of the configuration before
    And its routes stand in the operators' order

  Scenario: A configuration with an unreadable route isn't put in force
    Given an entry that has read a configuration of 300 routes
    When it reads one with an unreadable route
    Then the configuration before stays in force
    When it reads one in which 2 routes are new and 1 is changed
    Then 299 of its routes are those of the configuration before
