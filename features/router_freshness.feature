@quick
Feature: A revoked API key is rejected within the revocation bound

  Scenario Outline: Keys are accepted while the freshness proof is valid
    Given a router that knows its configuration and 3 upstreams
    When <pause> s pass without a read of the configuration
    And a caller asks "<route>"
    Then <outcome>

    Examples:
      | pause | route | outcome                            |
      | 4.0   | look  | the request has been sent 1 times  |
      | 4.8   | look  | the caller has a 503 with Retry-After |
      | 4.8   | open  | the request has been sent 1 times  |

  Scenario: The proof ages during a suspension
    Given a router that knows its configuration and 3 upstreams
    When the machine is suspended for 6 s
    And a caller asks "look"
    Then the caller has a 503 with Retry-After

  Scenario: A proof dates from when the read was sent, not from its response
    Given a router that knows its configuration and 3 upstreams
    When a read that was sent 4.8 s ago confirms the configuration
    And 4.8 s pass without a read of the configuration
    And a caller asks "look"
    Then the caller has a 503 with Retry-After

  Scenario: A read overtaken by a newer one doesn't restore revoked keys
    Given a router that knows its configuration and 3 upstreams
    When revision 5 of the configuration, without keys, is read
    And then revision 1 is read
    And a caller asks "look"
    Then the caller has a 401 without Retry-After

  Scenario: Without a configuration, requests get a 503 instead of a 401
    Given a router that has just started
    When 1 s pass
    And a caller asks "look"
    Then the caller has a 503 with Retry-After

  Scenario: A request received during startup is served afterwards
    Given a router that has just started
    When a caller asks "look"
    Then the caller has no answer yet
    When the router reads its configuration and 3 upstreams
    Then the request has been sent 1 times

  Scenario Outline: Unknown routes and missing or unknown keys are rejected
    Given a router that knows its configuration and 3 upstreams
    When a caller with key "<key>" asks "<route>"
    Then <outcome>

    Examples:
      | route  | key           | outcome                                 |
      | look   | key-innsbruck | the request has been sent 1 times       |
      | look   | key-unknown   | the caller has a 401 without Retry-After |
      | look   |               | the caller has a 401 without Retry-After |
      | open   |               | the request has been sent 1 times       |
      | nosuch | key-innsbruck | the caller has a 404 without Retry-After |

  Scenario: The longest matching prefix wins
    Then route lookup agrees with a linear scan

  Scenario: Revoked keys are rejected in generated histories
    Then no revoked key is accepted after its bound
