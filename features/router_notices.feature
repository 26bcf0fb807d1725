@quick
Feature: What an upstream announces in its answers applies at once, to one incarnation

  Background:
    Given a router that knows its configuration and 2 upstreams

  Scenario Outline: An upstream that announces its shutdown gets no more requests
    When upstream "up-0" answers <answer> and announces its shutdown
    And 1 s pass
    Then none of 20 new requests goes to "up-0"
    When the list shows "up-0" as ready again
    Then none of 20 new requests goes to "up-0"
    When "up-0" is removed from the list and added again
    Then none of 20 new requests goes to "up-0"
    When "up-0" restarts with the same id
    Then some of 20 new requests go to "up-0"

    Examples:
      | answer |
      | 200    |
      | 500    |
      | 503    |

  Scenario: An announcement of another process at its address doesn't apply to it
    When upstream "up-0" answers 421 and announces its shutdown
    And "up-0" restarts with the same id
    Then some of 20 new requests go to "up-0"

  Scenario: The next heartbeat tells peers of a shutdown
    Given a peer of the router
    When upstream "up-0" answers 200 and announces its shutdown
    And 1 s pass
    Then the heartbeat to the peer names "up-0" as shutting down
    When the peer names "up-1" as shutting down
    Then a new request is refused as not run

  Scenario Outline: An upstream that asks for a pause gets no requests until it is over
    When upstream "up-0" refuses a request and asks for a pause of <pause> s
    Then none of 20 new requests goes to "up-0"
    When <early> s pass
    Then none of 20 new requests goes to "up-0"
    When <late> s pass
    Then some of 20 new requests go to "up-0"

    Examples:
      | pause | early | late |
      | 0.7   | 0.6   | 0.2  |
      | 5     | 4.5   | 1    |
      | 1e9   | 55    | 6    |

  Scenario: With all upstreams closed, Retry-After says when the first reopens
    When upstream "up-0" refuses a request and asks for a pause of 3 s
    And upstream "up-1" refuses a request and asks for a pause of 5 s
    Then a new request is refused as not run
    And its Retry-After is 3.2 to 3.8 s

  Scenario: A retry doesn't go to a closed upstream
    When upstream "up-0" refuses a request and asks for a pause of 5 s
    And a request's other upstream breaks the connection
    Then its caller has an answer at once

  Scenario: Heartbeats name an upstream only while it is listed
    Given a peer of the router
    When upstream "up-0" answers 200 and announces its shutdown
    And 1 s pass
    Then the heartbeat to the peer names "up-0" as shutting down
    When "up-0" is removed from the list
    And 1 s pass
    Then the heartbeat to the peer names "" as shutting down
    When "up-0" is added to the list again, unchanged
    Then none of 20 new requests goes to "up-0"

  Scenario: A peer's report of a shutdown is logged once
    Given a peer of the router
    When the peer names "up-1" as shutting down
    And the peer names "up-1" as shutting down
    Then 1 log line says that "up-1" is leaving, with the peer as reason
