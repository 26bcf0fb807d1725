@quick
Feature: Retries, deadlines and error responses of requests

  Background:
    Given a router that knows its configuration and 3 upstreams

  Scenario Outline: Which outcomes are retried on which kind of route
    When a caller asks "<route>"
    And its upstream <outcome>
    Then the request has been sent <attempts> times
    And the caller has <answer>

    Examples:
      | route | outcome                            | attempts | answer                    |
      | look  | answers 200                        | 1        | the upstream's 200        |
      | look  | drops the connection               | 2        | no answer yet             |
      | look  | answers 500                        | 2        | no answer yet             |
      | look  | refuses the request as overloaded  | 2        | no answer yet             |
      | look  | is unreachable                     | 2        | no answer yet             |
      | book  | answers 200                        | 1        | the upstream's 200        |
      | book  | answers 500                        | 1        | the upstream's 500        |
      | book  | drops the connection               | 1        | a 502 without Retry-After |
      | book  | sends an answer that isn't genuine | 1        | a 502 without Retry-After |
      | book  | refuses the request as overloaded  | 2        | no answer yet             |
      | book  | answers 421 as another instance    | 2        | no answer yet             |
      | book  | is unreachable                     | 2        | no answer yet             |
      | note  | drops the connection               | 1        | a 502 without Retry-After |
      | chat  | drops the connection               | 2        | no answer yet             |

  Scenario: A non-idempotent request that every upstream refuses gets a 503
    When a caller asks "book"
    And every upstream refuses the request as overloaded
    Then the caller has a 503 with Retry-After
    And no request or attempt is open

  Scenario: A non-idempotent request that may have run gets a 502
    When a caller asks "book"
    And its upstream refuses the request as overloaded
    And its upstream drops the connection
    Then the caller has a 502 without Retry-After

  # Guards against callers who book twice: a status that says "not run" was
  # relayed for a request that its upstream had run.
  Scenario Outline: A status that denies a run isn't relayed after a run
    When a caller asks "<route>"
    And its upstream runs the request and answers <status>
    Then the caller has a 502 without Retry-After
    And the request has been sent 1 times
    And no request or attempt is open
    And the logged decisions on the request are "placed, answer_withheld, given_up"

    Examples:
      | route | status |
      | book  | 408    |
      | book  | 429    |
      | book  | 503    |
      | note  | 408    |
      | note  | 429    |
      | note  | 503    |

  Scenario: A run after a refusal isn't denied
    When a caller asks "book"
    And its upstream refuses the request as overloaded
    And its upstream runs the request and answers 503
    Then the caller has a 502 without Retry-After

  Scenario Outline: Other statuses are relayed unchanged
    When a caller asks "<route>"
    And every upstream runs the request and answers <status>
    Then the caller has the upstream's <status>

    Examples:
      | route | status |
      | book  | 400    |
      | book  | 409    |
      | book  | 500    |
      | book  | 502    |
      | book  | 504    |
      | look  | 408    |
      | look  | 429    |
      | look  | 503    |

  Scenario: A request gets a 504 at the route's timeout
    When a caller with a timeout of 20 s asks "book"
    And 10.1 s pass
    Then the caller has a 504 without Retry-After
    And the attempt is cancelled

  Scenario: The caller's timeout applies if it is shorter than the route's
    When a caller with a timeout of 1.5 s asks "book"
    Then the upstream is given 1.5 s
    When 1.6 s pass
    Then the caller has a 504 without Retry-After

  Scenario: A retry is given only the time left until the deadline
    When a caller with a timeout of 1.5 s asks "look"
    And the upstream is silent for 0.8 s
    Then the request has been sent 2 times
    And the upstream is given at most 0.9 s

  Scenario: A request is cancelled when its caller disconnects
    When a caller asks "chat"
    And the caller disconnects
    Then the attempt is cancelled
    And no request or attempt is open

  Scenario: A late answer to a cancelled attempt is ignored
    When a caller asks "look"
    And the upstream is silent for 1 s
    And the first upstream answers late
    Then the caller has no answer yet

  Scenario: Each decision on a request is logged
    When a caller asks "look"
    And its upstream drops the connection
    And its upstream answers 200
    Then the logged decisions on the request are "placed, failed_attempt, placed, answered"
    And each logged placement has candidates, load age and time left

  Scenario: A request that all upstreams turn away marks none of them
    Given a router that knows its configuration and 3 upstreams
    When a caller asks "look"
    And each of its upstreams answers 421 without naming itself
    Then all 3 upstreams accept requests

  Scenario Outline: An upstream at whose address another process answers is used again later
    Given a router that knows its configuration and 1 upstreams
    When a caller asks "look"
    And each of its upstreams answers 421 without naming itself
    And <pause> s pass
    Then all <count> upstreams accept requests

    Examples:
      | pause | count |
      | 4.5   | 0     |
      | 5.5   | 1     |
