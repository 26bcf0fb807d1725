@platform
Feature: An entry process forwards callers' requests to runners

  Scenario: Requests of every kind get the runner's response unchanged
    When a caller requests "/book/court/2?day=8%2F2" from the platform with a body
    Then the platform's response is the runner's, including its signature
    And the runner received the method, target and body as sent
    And the runner received the organisation but not the API key
    And the runner received a deadline within the caller's, and its own name
    When a caller requests "/look/court/2" from the platform
    Then the platform's response is the runner's, including its signature
    When a caller requests "/chat/easy" from the platform
    Then the platform's response is a stream of events 1 to 6

  Scenario: A chunked body is forwarded completely
    When a caller sends the platform a chunked body
    Then the platform's response is the runner's, including its signature

  Scenario: A compressed body is forwarded as it is
    When a caller sends the platform a compressed body
    Then the platform's response is the runner's, including its signature
    And the runner received the method, target and body as sent

  Scenario: Bodies of the largest size are forwarded completely
    When a caller sends the platform 20 bodies of 100000 bytes in small pieces
    Then each response is the runner's, and each body was received completely

  Scenario: Headers reserved for the system aren't forwarded
    When a caller sends the platform headers that only the system may set
    Then the runner received none of these headers

  Scenario: A hard request is answered by the large model
    When a caller requests "/chat/hard" from the platform
    Then the platform's response is a stream of events 1 to 6
    And the events come from model "large"

  Scenario Outline: Responses to callers when a runner misbehaves
    When a caller requests "<path>" while runners have fault "<fault>" for <count> requests
    Then the platform returns <answer>, and <runs> runs started

    Examples:
      | fault          | count | path       | answer           | runs |
      | shed           | 1     | /book/1    | the runner's 200 | 1    |
      | another        | 1     | /book/1    | the runner's 200 | 1    |
      | fail           | 1     | /look/1    | the runner's 200 | 2    |
      | fail           | 1     | /book/1    | the runner's 500 | 1    |
      | deny           | 1     | /look/1    | the runner's 200 | 2    |
      | deny           | 1     | /book/1    | its own 502      | 1    |
      | cut            | 1     | /look/1    | the runner's 200 | 2    |
      | cut            | 1     | /book/1    | its own 502      | 1    |
      | cut_midway     | 1     | /book/1    | its own 502      | 1    |
      | cut_midway     | 1     | /look/1    | the runner's 200 | 2    |
      | unframed       | 1     | /book/1    | the runner's 200 | 1    |
      | reset_unframed | 1     | /book/1    | its own 502      | 1    |
      | reset_unframed | 1     | /look/1    | the runner's 200 | 2    |
      | extra          | 1     | /book/1    | the runner's 200 | 1    |
      | foreign        | 1     | /book/1    | its own 502      | 1    |
      | early          | 1     | /book/1    | the runner's 200 | 1    |
      | hang           | 1     | /look/1    | the runner's 200 | 2    |
      | shed           | 9     | /book/1    | its own 503      | 0    |

  Scenario Outline: A stream interrupted by a runner continues on another one
    When a caller requests "/chat/easy" while runners have fault "<fault>" for 1 requests
    Then the platform's response is a stream of events 1 to 6

    Examples:
      | fault      |
      | cut        |
      | cut_midway |
      | stall      |
      | hang       |
      | fail       |

  Scenario: A booking on a runner that hangs is answered at the timeout
    When a caller requests "/book/1" while runners have fault "hang" for 1 requests
    Then the platform returns its own 504, and 1 runs started
    And it took at most 2.8 s

  Scenario: A caller's disconnection cancels the work of the runner
    When a caller disconnects after 0.3 s while its runner hangs
    Then all runners are idle within 1 s

  Scenario Outline: Invalid input is rejected, and not forwarded
    When a caller sends this invalid input: <what>
    Then the platform answers with status <status>
    And no runner received a request

    Examples:
      | what                        | status |
      | Content-Length and chunked  | 400    |
      | two Content-Length lines    | 400    |
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
    When a caller requests "/book/1" while runners have fault "hang" for 1 requests
    Then the platform returns its own 504, and 1 runs started

  Scenario: Pipelined requests are answered in order
    When a caller pipelines two requests to the platform
    Then it gets both answers in order

  Scenario: File descriptors don't leak
    When 200 callers send requests, some leave, and runners misbehave
    Then the entry has no more file descriptors open than before

  Scenario: A new configuration takes effect within two seconds
    When the operators add a route and revoke the key
    Then within 2 s the old key gets 401 and the new route works

  Scenario: Requests are logged by ID and counted
    When a caller requests "/look/court/2" from the platform
    Then the entry's log names the runner and the reason for its choice
    And the entry's metrics include the request
