@quick
Feature: A stream goes on after its last whole event, and is never joined wrongly

  Background:
    Given a router that knows its configuration and 3 upstreams

  Scenario: Events are passed on as they arrive
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to 3
    Then the caller has events 1 to 3, and the stream is open

  Scenario: A stream that breaks off goes on elsewhere
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to 3
    And the upstream breaks off in the middle of an event
    Then the request is sent to another upstream from event 3 on
    When the upstream sends events 4 to 6 and ends
    Then the caller has events 1 to 6, and the stream has ended

  Scenario: Events that the caller has aren't sent twice
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to 3
    And its upstream breaks off
    And the upstream sends events 2 to 5 and ends
    Then the caller has events 1 to 5, and the stream has ended

  Scenario: A stream goes on at the same version only
    Given upstreams 1 and 2 have left, and one of version "v2" is listed
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to 3
    And its upstream breaks off
    Then the caller's stream is cut off

  Scenario: A stream that mustn't be resumed is cut off
    When a caller asks "note"
    And the upstream is confident and sends events 1 to 3
    And its upstream breaks off
    Then the caller's stream is cut off

  Scenario: A failure in place of the rest of a stream isn't its end
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to 3
    And its upstream breaks off
    And its upstream answers 500
    Then the request has been sent 3 times
    And the caller has events 1 to 3, and the stream is open
    When its upstream answers 500
    Then the caller's stream is cut off in the end

  Scenario: An end inside an event isn't an end
    When a caller asks "note"
    And the upstream is confident and sends events 1 to 3
    And the upstream ends inside an event
    Then the caller's stream is cut off

  Scenario: An unsure small model is dropped before the caller has anything
    When a caller asks "chat"
    Then the request is sent to model "small"
    When the upstream answers with confidence 20
    Then the attempt is cancelled
    And the request is sent to model "large"

  Scenario: A sure small model keeps the request
    When a caller asks "chat"
    And the upstream answers with confidence 80
    Then the request has been sent 1 times

  Scenario: A silent stream is moved
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to 3
    And 2 s pass in which the upstream is silent
    Then the request is sent to another upstream from event 3 on

  Scenario: Any cut of the bytes gives the same events
    Then cutting a stream anywhere gives the same events

  Scenario: A slow but sound stream stays where it is
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to 3
    And it sends an event each 1.3 s until it has sent 9
    Then the request has been sent 1 times
    And the caller has events 1 to 9, and the stream is open

  Scenario Outline: A stream that sends a byte now and then, but no event, is moved
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to <events>
    And it sends a byte each 0.3 s for <time> s
    Then the request has been sent 2 times

    Examples:
      | events | time |
      | 0      | 2.0  |
      | 3      | 2.0  |

  Scenario Outline: Bytes without end that are no answer are broken off
    When a caller asks "<route>"
    And its upstream begins to answer and sends <bytes> without end
    Then it is broken off before 5 MB have come
    And <outcome>

    Examples:
      | route | bytes          | outcome                              |
      | look  | a body         | the request has been sent 2 times    |
      | book  | a body         | the caller has a 502 without Retry-After |
      | chat  | a long event   | the request has been sent 2 times    |
      | chat  | comments       | the request has been sent 2 times    |
      | chat  | its last event | the request has been sent 2 times    |
      | chat  | new events     | the request has been sent 2 times    |
      | note  | a long event   | the caller's stream is cut off in the end |

  Scenario: Comments between events neither keep a stream alive nor move it
    When a caller asks "chat"
    And the upstream is confident and sends events 1 to 3
    And it sends a comment each 0.2 s for 2 s
    Then the request is sent to another upstream from event 3 on

  Scenario: A long answer is passed on
    When a caller asks "look"
    And its upstream answers with a body of 3 MB
    Then the caller has all of it
