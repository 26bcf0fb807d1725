@quick
Feature: A key that was taken away opens nothing after its bound

  Scenario Outline: The proof's age decides
    Given a router that knows its configuration and 3 upstreams
    When <pause> s pass without a read of the configuration
    And a caller asks "<route>"
    Then <outcome>

    Examples:
      | pause | route | outcome                            |
      | 4.0   | look  | the request has been sent 1 times  |
      | 4.8   | look  | the caller has a 503 with Retry-After |
      | 4.8   | open  | the request has been sent 1 times  |

  Scenario: A suspension counts
    Given a router that knows its configuration and 3 upstreams
    When the machine is suspended for 6 s
    And a caller asks "look"
    Then the caller has a 503 with Retry-After

  Scenario: A read that was sent long before its answer proves only that time
    Given a router that knows its configuration and 3 upstreams
    When a read that was sent 4.8 s ago confirms the configuration
    And 4.8 s pass without a read of the configuration
    And a caller asks "look"
    Then the caller has a 503 with Retry-After

  Scenario: An overtaken read proves nothing and brings nothing back
    Given a router that knows its configuration and 3 upstreams
    When revision 5 of the configuration, without keys, is read
    And then revision 1 is read
    And a caller asks "look"
    Then the caller has a 401 without Retry-After

  Scenario: Without a configuration nothing is denied
    Given a router that has just started
    When 1 s pass
    And a caller asks "look"
    Then the caller has a 503 with Retry-After

  Scenario: A request that comes during the start is served after it
    Given a router that has just started
    When a caller asks "look"
    Then the caller has no answer yet
    When the router reads its configuration and 3 upstreams
    Then the request has been sent 1 times

  Scenario Outline: Routes and keys
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

  Scenario: The longest prefix wins, as a naive scan finds it
    Then route lookup agrees with a linear scan

  Scenario: Proofs under any order of reads, suspensions and revocations
    Then no revoked key is accepted after its bound
