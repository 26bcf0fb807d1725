@platform
Feature: Builds beside programs that start

  # A build replaced packages in place, so that imports found half of them.
  Scenario: Entries start while builds run
    Given 6 entries that run in a tree of their own
    When they start again and again for 15 s, beside builds of changed and unchanged sources
    Then each start got ready, 12 or more in all
    And each build exited with code 0, 4 or more in all

  # Modules that were imported late came from another build than the first ones.
  Scenario: A build while an entry is between two imports
    Given 1 entries that run in a tree of their own
    When entry 0 starts, and is paused while it loads its libraries
    And a module changes that others need, and a build runs
    And entry 0 goes on
    Then entry 0 gets ready
    And the release in force holds just the sources

  # A build that ended halfway left programs that didn't start.
  Scenario: Builds are killed at any moment
    Given 1 entries that run in a tree of their own
    When 8 builds of changed sources are killed with seed 63, and entry 0 starts after each
    Then each start got ready, 8 or more in all
    When a module is renamed, and a build runs
    Then the release in force holds just the sources
    And nothing of the builds that were killed is left

  # Two builds removed what the other one was copying.
  Scenario: Builds at once
    Given 1 entries that run in a tree of their own
    When 3 builds of changed sources run at once, 3 times
    Then each build exited with code 0, 9 or more in all
    And the release in force holds just the sources
    And entry 0 starts again and gets ready

  # A failed installation left a folder that the next build took for complete.
  Scenario: A library can't be installed
    Given 1 entries that run in a tree of their own
    When a build requires a library that nobody offers
    Then the build exits with code 1, names the step "install libraries", and changes nothing
    And entry 0 starts again and gets ready
    When the requirement is taken back, and a build runs
    Then the release in force holds just the sources

  # Each build wrote all files anew.
  Scenario: A build of unchanged sources
    Given 1 entries that run in a tree of their own
    When a build of unchanged sources runs
    Then it has written no file and moved no time stamp within 1 s

  # Compiled libraries of another kind of processor stayed in force.
  Scenario: A build on another kind of processor
    Given 1 entries that run in a tree of their own
    When a build runs on another kind of processor
    Then its libraries were installed anew
