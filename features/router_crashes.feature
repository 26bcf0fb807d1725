@quick
Feature: A request that crashes its upstreams reaches few of them

  A request is refused once three upstreams have crashed while running it. The
  users allow at most three attempts later than 3 s after the third crash.

  Scenario: The known crashes of a request are logged
    Given 3 entries in 1 data centre, and a "note" request that crashes upstreams
    When its caller sends it 12 times, every 1 s
    Then each log line on a failed attempt names the request and its crashes
    And log lines say what other entries reported of it
    And the log line on its refusal names its known crashes

  Scenario: The shared parts of an interrupted prompt are logged
    Given 1 entry in 1 data centre, and a "chat" request that crashes upstreams
    When its caller sends it 2 times, every 4 s
    Then each log line on a failed attempt names the shared parts of its prompt

  Scenario Outline: A request that is sent to each entry in turn crashes few upstreams
    Given <entries> entries in <places> data centres, and a "<route>" request that crashes upstreams
    When its caller sends it <times> times, every <pause> s
    Then at most 3 attempts reach upstreams later than 3 s after the third crash
    And some of the requests are refused as a crash suspect

    Examples:
      | entries | places | route | times | pause |
      | 1       | 1      | note  | 10    | 4     |
      | 5       | 1      | note  | 20    | 4     |
      | 5       | 3      | look  | 20    | 4     |
      | 9       | 3      | note  | 20    | 1     |
      | 27      | 3      | note  | 40    | 1     |
      | 27      | 3      | chat  | 40    | 1     |

  Scenario: An upstream that crashes again before its restart is listed counts twice
    Given 1 entry in 1 data centre, and a "note" request that crashes upstreams
    And the list of upstreams shows no restarts
    When its caller sends it 12 times, every 4 s
    Then at most 3 attempts reach upstreams later than 3 s after the third crash

  Scenario Outline: A request that crashes upstreams stays known when each entry that sent it is replaced
    Given 5 entries in 1 data centre, and a "<route>" request that crashes upstreams
    When its caller sends it 20 times, every 3 s, and each entry that took it is replaced
    Then at most 3 attempts reach upstreams later than 3 s after the third crash

    Examples:
      | route |
      | note  |
      | chat  |

  Scenario: A 500 answer doesn't clear a request that crashes upstreams
    Given 1 entry in 1 data centre, and a "note" request that crashes upstreams
    And every third of its attempts is answered with 500 instead of a crash
    When its caller sends it 30 times, every 1 s
    Then at most 3 attempts reach upstreams later than 3 s after the third crash

  Scenario: A good answer at one entry clears a request at all entries
    Given 6 entries in 2 data centres, and a "note" request that crashes upstreams
    When it is sent once to an upstream that survives it
    And its caller sends it 4 times, every 2 s
    And that attempt has a good answer
    And the entries run for 4 s
    Then every entry sends it to an upstream again

  Scenario: An entry that was disconnected when a request was cleared learns of it
    Given 6 entries in 2 data centres, and a "note" request that crashes upstreams
    When it is sent once to an upstream that survives it
    And its caller sends it 4 times, every 2 s
    And "west-1" is cut off for 6 s while it has a good answer
    And the entries run for 4 s
    Then every entry sends it to an upstream again

  Scenario: Many interrupted requests don't displace one that crashes upstreams
    Given 1 entry in 1 data centre, and a "note" request that crashes upstreams
    When its caller sends it 12 times, every 1 s, and 1100 other requests are interrupted each time
    Then at most 3 attempts reach upstreams later than 3 s after the third crash

  Scenario: Suspects that are removed for lack of space are logged, whichever entry reported them
    Given 2 entries in 1 data centre, and a "note" request that crashes upstreams
    When another entry reports to "entry-0" 6000 other requests that crashed upstreams
    And the entries run for 2 s
    Then "entry-0" logs how many of the 6000 it removed, and removed some

  Scenario: A request that crashes upstreams is recognised under a new API key
    Given 3 entries in 1 data centre, and a "note" request that crashes upstreams
    When its caller sends it 12 times, every 1 s, with a new key each time
    Then at most 3 attempts reach upstreams later than 3 s after the third crash

  Scenario Outline: A crash that leaves connections open counts as a crash
    Given 3 entries in 1 data centre, and a "<route>" request that crashes upstreams
    And upstreams crash without closing their connections
    When its caller sends it 12 times, every 4 s
    Then at most 3 attempts reach upstreams later than 3 s after the third crash

    Examples:
      | route |
      | look  |
      | book  |
      | chat  |

  Scenario Outline: An answer that is refused or cut off here counts as no crash
    Given a router that knows its configuration and 8 upstreams
    When the same "<route>" request comes 6 times, and its upstreams answer with <answer>
    Then the same "<route>" request is sent to an upstream again

    Examples:
      | route | answer               |
      | note  | a missing signature  |
      | book  | a missing signature  |
      | book  | more than the limit  |

  Scenario: A slow upstream that keeps running counts as no crash
    Given 1 entry in 1 data centre, and a "look" request that crashes upstreams
    When it is sent 6 times to upstreams that are silent but alive, every 4 s
    Then every entry sends it to an upstream again

  Scenario Outline: Histories of entries that are killed, suspended and cut off
    Then in 30 generated histories of <entries> entries in <places> data centres few upstreams crash

    Examples:
      | entries | places |
      | 3       | 1      |
      | 6       | 2      |
      | 12      | 3      |

  Scenario: A crash at the moment of a good answer, and more crashes later
    Given 1 entry in 1 data centre, and a "note" request that crashes upstreams
    When it is sent three times to one upstream, and one attempt is answered between the interruptions of the others
    And its caller sends it 6 times, every 4 s
    Then at most 3 attempts reach upstreams later than 3 s after the third crash
