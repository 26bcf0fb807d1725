@platform
Feature: An entry on the platform, as a process, between callers, store and runners

  Scenario: Requests of each kind get their runner's answer, unchanged
    When a caller asks the platform for "/book/court/2?day=8%2F2" with a body
    Then the platform's answer is the runner's, signature and all
    And the runner got method, target and body as they were sent
    And the runner got the organisation, not the key
    And the runner got a deadline below the caller's, and its own name
    When a caller asks the platform for "/look/court/2"
    Then the platform's answer is the runner's, signature and all
    When a caller asks the platform for "/chat/easy"
    Then the platform's answer is a stream of events 1 to 6

  Scenario: A body in chunks arrives whole
    When a caller sends the platform a body in chunks
    Then the platform's answer is the runner's, signature and all

  Scenario: Headers that are the system's to set aren't passed on
    When a caller sends the platform headers that only the system may set
    Then the runner got none of them

  Scenario: A hard request is answered by the large model
    When a caller asks the platform for "/chat/hard"
    Then the platform's answer is a stream of events 1 to 6
    And the events are of model "large"

  Scenario Outline: What a runner does wrong, and what callers get
    When runners <misdeed> with <count> requests, and a caller asks for "<path>"
    Then the platform answers <answer>, and <runs> runs began

    Examples:
      | misdeed        | count | path       | answer           | runs |
      | shed           | 1     | /book/1    | the runner's 200 | 1    |
      | another        | 1     | /book/1    | the runner's 200 | 1    |
      | fail           | 1     | /look/1    | the runner's 200 | 2    |
      | fail           | 1     | /book/1    | the runner's 500 | 1    |
      | cut            | 1     | /look/1    | the runner's 200 | 2    |
      | cut            | 1     | /book/1    | an own 502       | 1    |
      | cut_midway     | 1     | /book/1    | an own 502       | 1    |
      | cut_midway     | 1     | /look/1    | the runner's 200 | 2    |
      | unframed       | 1     | /book/1    | the runner's 200 | 1    |
      | reset_unframed | 1     | /book/1    | an own 502       | 1    |
      | reset_unframed | 1     | /look/1    | the runner's 200 | 2    |
      | extra          | 1     | /book/1    | the runner's 200 | 1    |
      | foreign        | 1     | /book/1    | an own 502       | 1    |
      | early          | 1     | /book/1    | the runner's 200 | 1    |
      | hang           | 1     | /look/1    | the runner's 200 | 2    |
      | shed           | 9     | /book/1    | an own 503       | 0    |

  Scenario Outline: A stream that a runner spoils goes on elsewhere
    When runners <misdeed> with 1 requests, and a caller asks for "/chat/easy"
    Then the platform's answer is a stream of events 1 to 6

    Examples:
      | misdeed    |
      | cut        |
      | cut_midway |
      | stall      |
      | hang       |
      | fail       |

  Scenario: A runner that hangs with a booking: the answer at the time-out
    When runners hang with 1 requests, and a caller asks for "/book/1"
    Then the platform answers an own 504, and 1 runs began
    And it took at most 2.8 s

  Scenario: A caller that leaves frees the runner
    When runners hang with 1 requests, and a caller leaves after 0.3 s
    Then no runner works on anything within 1 s

  Scenario Outline: Invalid input is rejected, and not forwarded
    When a caller sends this invalid input: <what>
    Then the platform answers with status <status>
    And no runner received a request

    Examples:
      | what                        | status |
      | both framings at once       | 400    |
      | two different lengths       | 400    |
      | an oversize head            | 400    |
      | an oversize body            | 413    |
      | no attempt id               | 400    |
      | an unknown key              | 401    |
      | a key in the path           | 401    |
      | an unknown route            | 404    |
      | half a head                 | 0      |
      | half a body                 | 0      |

  Scenario Outline: Connections of slow callers are closed
    Given the header timeout is 0.6 s and the idle timeout 1.2 s
    When a slow caller sends <what>
    Then its connection is closed after <least> to <most> s
    And no more than <runs> requests reached the runners

    Examples:
      | what                              | least | most | runs |
      | nothing                           | 1.1   | 1.9  | 0    |
      | half a head                       | 0.5   | 1.1  | 0    |
      | a head byte by byte               | 0.5   | 1.1  | 0    |
      | a whole request, then nothing     | 1.1   | 1.9  | 1    |
      | a whole request, then half a head | 0.5   | 1.1  | 1    |

  Scenario: A request whose body stalls gets a 408
    Given the header timeout is 0.6 s and the idle timeout 1.2 s
    When a slow caller sends half a body
    Then the platform answers with status 408
    And its connection is closed after 1.1 to 2.9 s
    And no runner received a request

  Scenario: The idle timeout doesn't apply while a caller waits for its answer
    Given the header timeout is 0.6 s and the idle timeout 1.2 s
    When runners hang with 1 requests, and a caller asks for "/book/1"
    Then the platform answers an own 504, and 1 runs began

  Scenario: Pipelined requests are answered in order
    When a caller pipelines two requests to the platform
    Then it gets both answers in order

  Scenario: File descriptors don't leak
    When 200 callers send requests, some leave, and runners misbehave
    Then the entry has no more file descriptors open than before

  Scenario: A configuration is in force within two seconds
    When the operators add a route and take the key away
    Then within 2 s the old key gets 401 and the new route is known

  Scenario: Requests of an id are found in the log, and counted
    When a caller asks the platform for "/look/court/2"
    Then the entry's log says who ran it and why
    And the entry's metrics count it
