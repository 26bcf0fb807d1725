@quick
Feature: A response that is still arriving isn't given up

  Scenario: A large configuration takes effect at a host with a slow link
    Given a store that holds a configuration of 2800 routes
    When its response takes 2 s to arrive
    Then one read has made the configuration of 2800 routes active

  Scenario: A response that falls silent halfway is given up
    Given a store that holds a configuration of 2800 routes
    When its response takes 2 s and falls silent after 10 parts
    Then no configuration is active, and the read ended within 2.5 s
    And the log has the number of bytes that had arrived

  Scenario: A response that arrives too slowly is given up
    Given a store that holds a configuration of 2800 routes
    When its response takes 60 s to arrive
    Then no configuration is active, and the read ended within 7 s

  Scenario Outline: Other large responses
    Then a <name> that takes <duration> s to arrive is read

    Examples:
      | name               | duration |
      | list of upstreams  | 1.5      |
      | watch of upstreams | 1.5      |
      | list of objects    | 1.5      |
      | list of hosts      | 3        |
