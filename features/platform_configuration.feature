@quick
Feature: Reading a large configuration doesn't delay requests

  On a machine with 0.387 of a core, requests may be delayed by up to 50 ms,
  which is 19 ms of CPU time.

  Scenario Outline: The event loop is never blocked for long
    Given an entry that has read a configuration of <before> routes
    When it reads a configuration of <after> routes and 1000 keys
    Then it is active, and the event loop was never blocked for more than 19 ms of CPU time

    Examples:
      | before | after |
      | 8      | 1400  |
      | 1400   | 1400  |
      | 1400   | 2400  |

  Scenario: Unchanged routes are reused
    Given an entry that has read a configuration of 300 routes
    When it reads a configuration with 2 new routes and 1 changed one
    Then 299 of its routes are reused from the previous configuration
    And its routes are in the operators' order

  Scenario: A configuration with an invalid route is rejected
    Given an entry that has read a configuration of 300 routes
    When it reads a configuration with an invalid route
    Then the previous configuration stays active
    When it reads a configuration with 2 new routes and 1 changed one
    Then 299 of its routes are reused from the previous configuration

  Scenario Outline: An unchanged configuration is transferred again only if it is small
    Given the store's stand-in holds a configuration of <routes> more routes
    When an entry polls it 6 times
    Then it was transferred <transfers> times, and each poll confirmed it

    Examples:
      | routes | transfers |
      | 0      | 6         |
      | 800    | 2         |

  Scenario Outline: Each poll of a large configuration shows what the store holds
    Given the store's stand-in holds a configuration of 800 more routes
    When an entry polls it 3 times
    And <change>
    Then the next poll shows version <version>

    Examples:
      | change                                                 | version |
      | version 2 is written                                   | 2       |
      | an upstream registers                                  | 1       |
      | an upstream registers, and version 2 is written        | 2       |
      | a copy is restored, and version 2 has its old revision | 2       |

  Scenario: A poll of a large configuration that fails proves nothing
    Given the store's stand-in holds a configuration of 800 more routes
    When an entry polls it 3 times
    Then a poll of a store that answers 503 confirms nothing
