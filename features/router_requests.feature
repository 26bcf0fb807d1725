@quick
Feature: A request's answer says what is known of it

  Background:
    Given a router that knows its configuration and 3 upstreams

  Scenario Outline: What each route may repeat
    When a caller asks "<route>"
    And its upstream <outcome>
    Then the request has been sent <sendings> times
    And the caller has <answer>

    Examples:
      | route | outcome                    | sendings | answer                        |
      | look  | answers 200                | 1        | the upstream's 200            |
      | look  | breaks off                 | 2        | no answer yet                 |
      | look  | answers 500                | 2        | no answer yet                 |
      | look  | refuses for want of room   | 2        | no answer yet                 |
      | look  | can't be reached           | 2        | no answer yet                 |
      | book  | answers 200                | 1        | the upstream's 200            |
      | book  | answers 500                | 1        | the upstream's 500            |
      | book  | breaks off                 | 1        | a 502 without Retry-After     |
      | book  | sends no genuine answer    | 1        | a 502 without Retry-After     |
      | book  | refuses for want of room   | 2        | no answer yet                 |
      | book  | is another one             | 2        | no answer yet                 |
      | book  | can't be reached           | 2        | no answer yet                 |
      | note  | breaks off                 | 1        | a 502 without Retry-After     |
      | chat  | breaks off                 | 2        | no answer yet                 |

  Scenario: A booking that no upstream takes has not run
    When a caller asks "book"
    And each upstream refuses for want of room
    Then the caller has a 503 with Retry-After
    And no attempt is still open

  Scenario: A booking that may have run is never called not run
    When a caller asks "book"
    And its upstream refuses for want of room
    And its upstream breaks off
    Then the caller has a 502 without Retry-After

  Scenario: The answer at the route's time-out
    When a caller with a timeout of 20 s asks "book"
    And 10.1 s pass
    Then the caller has a 504 without Retry-After
    And the attempt is cancelled

  Scenario: The caller's own deadline comes first
    When a caller with a timeout of 1.5 s asks "book"
    Then the upstream is told that 1.5 s are left
    When 1.6 s pass
    Then the caller has a 504 without Retry-After

  Scenario: An upstream is told only what is left of the deadline
    When a caller with a timeout of 1.5 s asks "look"
    And 0.8 s pass in which the upstream is silent
    Then the request has been sent 2 times
    And the upstream is told at most 0.9 s

  Scenario: A caller that leaves stops the work
    When a caller asks "chat"
    And the caller leaves
    Then the attempt is cancelled
    And nothing is open

  Scenario: A late end of a cancelled attempt changes nothing
    When a caller asks "look"
    And 1 s pass in which the upstream is silent
    And the first upstream answers after all
    Then the caller has no answer yet

  Scenario: Each decision on a request has its line
    When a caller asks "look"
    And its upstream breaks off
    And its upstream answers 200
    Then the request's lines are "placed, failed_attempt, placed, answered"
    And each line on placing names candidates, age of the load and time left
