@quick
Feature: What an upstream says of itself holds at once, and for one incarnation

  Background:
    Given a router that knows its configuration and 2 upstreams

  Scenario Outline: An upstream that says it shuts down gets nothing more
    When upstream "up-0" answers <answer> and says that it shuts down
    And 1 s pass
    Then none of 20 new requests goes to "up-0"
    When the list says again that "up-0" is ready
    Then none of 20 new requests goes to "up-0"
    When "up-0" lapses from the list and is back
    Then none of 20 new requests goes to "up-0"
    When "up-0" starts anew under its id
    Then some of 20 new requests go to "up-0"

    Examples:
      | answer |
      | 200    |
      | 500    |
      | 503    |

  Scenario: Another upstream at its address doesn't speak for it
    When upstream "up-0" answers 421 and says that it shuts down
    And "up-0" starts anew under its id
    Then some of 20 new requests go to "up-0"

  Scenario: Peers hear it with the next heartbeat
    Given a peer of the router
    When upstream "up-0" answers 200 and says that it shuts down
    And 1 s pass
    Then the heartbeat to the peer names "up-0" as shutting down
    When the peer names "up-1" as shutting down
    Then a new request is refused as not run

  Scenario Outline: An upstream that asks for nothing gets nothing for so long
    When upstream "up-0" refuses a request and wants nothing for <wish> s
    Then none of 20 new requests goes to "up-0"
    When <early> s pass
    Then none of 20 new requests goes to "up-0"
    When <late> s pass
    Then some of 20 new requests go to "up-0"

    Examples:
      | wish | early | late |
      | 0.7  | 0.6   | 0.2  |
      | 5    | 4.5   | 1    |
      | 1e9  | 55    | 6    |

  Scenario: With all upstreams closed a caller is told when the first opens
    When upstream "up-0" refuses a request and wants nothing for 3 s
    And upstream "up-1" refuses a request and wants nothing for 5 s
    Then a new request is refused as not run
    And its caller may come back after 3.2 to 3.8 s

  Scenario: A repeat keeps off a closed upstream
    When upstream "up-0" refuses a request and wants nothing for 5 s
    And a request's other upstream breaks off
    Then its caller has its answer at once

  Scenario: Heartbeats name an upstream only while it is listed
    Given a peer of the router
    When upstream "up-0" answers 200 and says that it shuts down
    And 1 s pass
    Then the heartbeat to the peer names "up-0" as shutting down
    When "up-0" leaves the list
    And 1 s pass
    Then the heartbeat to the peer names "" as shutting down
    When "up-0" is listed again as it was
    Then none of 20 new requests goes to "up-0"

  Scenario: What a peer says of an upstream has its line
    Given a peer of the router
    When the peer names "up-1" as shutting down
    And the peer names "up-1" as shutting down
    Then 1 line says that "up-1" is leaving, by the peer's word
