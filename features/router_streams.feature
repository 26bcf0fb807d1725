@quick
Feature: Broken streams are resumed after the last complete event, or cut off

  Background:
    Given a router that knows its configuration and 3 upstreams

  Scenario: Events are forwarded as they arrive
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    Then the caller has events 1 to 3, and the stream is open

  Scenario: A broken stream is resumed on another upstream
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    And the connection breaks in the middle of an event
    Then another upstream is asked to resume after event 3
    When the upstream sends events 4 to 6 and ends the stream
    Then the caller has events 1 to 6, and the stream has ended

  Scenario: Events that the caller has received aren't sent again
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    And its upstream drops the connection
    And the upstream sends events 2 to 5 and ends the stream
    Then the caller has events 1 to 5, and the stream has ended

  Scenario: A stream is resumed only on the same version
    Given upstreams 1 and 2 are replaced by one of version "v2"
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    And its upstream drops the connection
    Then the caller's stream is cut off without a retry

  Scenario: A broken stream of a route that isn't resumable is cut off
    When a caller asks "note"
    And the upstream begins a stream with events 1 to 3
    And its upstream drops the connection
    Then the caller's stream is cut off without a retry

  Scenario: An error response to a resumption doesn't end the stream
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    And its upstream drops the connection
    And its upstream answers 500
    Then the request has been sent 3 times
    And the caller has events 1 to 3, and the stream is open
    When its upstream answers 500
    Then the caller's stream is cut off

  Scenario: A stream that ends in the middle of an event is incomplete
    When a caller asks "note"
    And the upstream begins a stream with events 1 to 3
    And the stream ends in the middle of an event
    Then the caller's stream is cut off without a retry

  Scenario Outline: A stream that ends with its connection before its first event isn't whole
    When a caller asks "<route>"
    And the upstream sends a head and closes the connection of an answer without a length
    Then <tried> upstreams have got the request, and no answer was begun

    Examples:
      | route | tried |
      | chat  | 2     |
      | note  | 1     |

  Scenario: An answer of low confidence is replaced by the large model's
    When a caller asks "chat"
    Then the request is sent to model "small"
    When the upstream answers with confidence 20
    Then the attempt is cancelled
    And the request is sent to model "large"

  Scenario: An answer of high confidence is kept
    When a caller asks "chat"
    And the upstream answers with confidence 80
    Then the request has been sent 1 times

  Scenario: A stalled stream is resumed on another upstream
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    And the upstream is silent for 2 s
    Then another upstream is asked to resume after event 3

  Scenario: Events don't depend on how their bytes are split
    Then splitting a stream's bytes anywhere gives the same events

  Scenario: A slow stream that makes progress isn't moved
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    And the upstream sends an event every 1.3 s up to event 9
    Then the request has been sent 1 times
    And the caller has events 1 to 9, and the stream is open

  Scenario Outline: A stream that sends bytes but no complete event is moved
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to <events>
    And the upstream sends a byte every 0.3 s for <time> s
    Then the request has been sent 2 times

    Examples:
      | events | time |
      | 0      | 2.0  |
      | 3      | 2.0  |

  Scenario Outline: An answer that exceeds the size limit is broken off
    When a caller asks "<route>"
    And the upstream starts its answer and sends <bytes> without end
    Then the router cancels the attempt before it gets 5 MB
    And <outcome>

    Examples:
      | route | bytes                | outcome                                  |
      | look  | a body               | the request has been sent 2 times        |
      | book  | a body               | the caller has a 502 without Retry-After |
      | chat  | a long event         | the request has been sent 2 times        |
      | chat  | comments             | the request has been sent 2 times        |
      | chat  | the same event again | the request has been sent 2 times        |
      | chat  | new events           | the request has been sent 2 times        |
      | note  | a long event         | the caller's stream is cut off           |

  Scenario: Comments don't count as progress of a stream
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    And the upstream sends a comment every 0.2 s for 2 s
    Then another upstream is asked to resume after event 3

  Scenario: A long answer is forwarded in full
    When a caller asks "look"
    And the upstream answers with a body of 3 MB
    Then the caller has the whole body
