@quick
Feature: A part of a prompt that crashes its upstreams reaches few of them

  Requests that are all different have one part of their prompts in common, and
  each upstream that begins one of them crashes. The users allow three attempts
  with that part later than 3 s after the fifth crash. Sound requests that share
  the other parts are served from 6 s after it on.

  Scenario Outline: Different requests that share a crashing part crash few upstreams
    Given <entries> entries in <places> data centres, and a part of "<route>" prompts that crashes upstreams
    When requests with and without that part come for 33 s
    Then at most 3 attempts with that part are sent later than 3 s after the fifth crash
    And at least half of the sound requests with first part "all" begin

    Examples:
      | entries | places | route |
      | 1       | 1      | chat  |
      | 1       | 1      | note  |
      | 5       | 1      | chat  |
      | 6       | 3      | note  |
      | 24      | 3      | chat  |

  Scenario Outline: A rare first part that crashing requests bring isn't taken for the cause
    Given <entries> entries in <places> data centres, and a part of "chat" prompts that crashes upstreams
    When requests with that part and first part "rare" come for 72 s, and sound ones with first part "rare" every <gap> s
    Then at most 3 attempts with that part are sent later than 3 s after the fifth crash
    And at least half of the sound requests with first part "all" begin
    And at least half of the sound requests with first part "rare" begin

    Examples:
      | entries | places | gap |
      | 1       | 1      | 2   |
      | 5       | 1      | 1.5 |
      | 24      | 3      | 2.7 |

  Scenario Outline: The end of an answer without a length doesn't clear the part that crashed its upstream
    Given <entries> entries in 1 data centre, and a part of "<route>" prompts that crashes upstreams
    And crashed upstreams end their answers as if they were complete
    When requests with that part and first part "rare" come for 63 s, and sound ones with first part "rare" every 1.5 s
    Then at most 3 attempts with that part are sent later than 3 s after the fifth crash
    And at least half of the sound requests with first part "all" begin
    And at least half of the sound requests with first part "rare" begin

    Examples:
      | entries | route |
      | 1       | chat  |
      | 5       | note  |

  Scenario Outline: A part is known by crashes that leave connections open
    Given <entries> entries in 1 data centre, and a part of "<route>" prompts that crashes upstreams
    And crashed upstreams leave their connections open
    When requests with that part and first part "rare" come for 63 s, and sound ones with first part "rare" every 1.5 s
    Then at most 3 attempts with that part are sent later than 3 s after the fifth crash
    And at least half of the sound requests with first part "all" begin
    And at least half of the sound requests with first part "rare" begin

    Examples:
      | entries | route |
      | 1       | chat  |
      | 5       | chat  |
      | 1       | note  |
      | 5       | note  |

  Scenario: A request isn't repeated on a larger model once its part is known to crash upstreams
    Given 1 entry in 1 data centre, and a part of "chat" prompts that crashes upstreams
    When a request with that part is sent, and a peer then reports 5 crashes under the part
    And an upstream answers that request with little confidence
    Then that request is sent to no further upstream

  Scenario Outline: A part that is suspected by mistake is served again
    Given <entries> entries in 1 data centre, and a part of "chat" prompts that crashes upstreams
    When a peer reports 5 crashes under the part "all", which no request caused
    And requests without the crashing part come for 90 s
    Then all of the sound requests of the last 20 s begin

    Examples:
      | entries |
      | 1       |
      | 5       |
