@quick
Feature: Entries report their open work at each engine to one another

  Background:
    Given a router that knows its configuration and 2 upstreams
    And a peer nearby and a peer in another data centre

  Scenario: A peer's work at an upstream counts like the entry's own
    When the peer nearby reports 5 s of work at "up-0"
    Then the next 3 chats go to "up-1"
    When the peer nearby reports 0 s of work at "up-0"
    And the peer far away reports 5 s of work at "up-1"
    Then the next 3 chats go to "up-0"

  Scenario: A peer's report expires when its heartbeats stop
    When the peer nearby reports 5 s of work at "up-0"
    And 4 s pass
    Then no work of other entries is known

  Scenario: Long prompts are reported at once within the data centre, short ones with the heartbeat
    When 0.6 s pass
    And a caller asks "chat" with a prompt of 12000 tokens
    And 0.06 s pass
    Then the peer nearby has had a report of the prompt, the peer far away none
    When 0.6 s pass
    And a caller asks "chat" with a prompt of 200 tokens
    And 0.06 s pass
    Then no peer has had a report ahead of its heartbeat

  Scenario: Many entries in other data centres get fewer heartbeats, without small work
    Given 12 more peers in the other data centre
    When a caller asks "chat" with a prompt of 12000 tokens
    And a caller asks "note" with a prompt of 300 tokens
    And 6 s pass
    Then the peer nearby has had at least 10 heartbeats, the peer far away at most 5
    And only the peer nearby has had a report of the short prompt
    But during a roll-out the peer far away gets at least 5 in 6 s

  Scenario: Few entries in other data centres get a heartbeat each second, with all work
    When a caller asks "note" with a prompt of 300 tokens
    And 6 s pass
    Then the peer nearby has had at least 10 heartbeats, the peer far away at most 7
    And the peer far away has had at least 5 heartbeats, and a report of the short prompt

  Scenario Outline: The time-out is longer at an upstream that sends bytes to others
    When a caller asks "chat" with a prompt of 6000 tokens
    And <who> gets bytes from its upstream while the request gets none for <silent> s
    Then the request has had <attempts> attempts

    Examples: The target latency is 2 s
      | who             | silent | attempts |
      | nobody          | 1.0    | 1        |
      | nobody          | 1.6    | 2        |
      | the peer nearby | 1.6    | 1        |
      | the peer nearby | 4.5    | 2        |
      | another request | 1.6    | 1        |

  Scenario: Queueing hardly changes the estimate of the prefill speed
    Then after 60 prompts with a prefill of 21 tokens/ms, half of them queued for up to 2 s, the estimate is 14 to 24 tokens/ms

  Scenario: A request that can't start before its deadline is refused at once
    When the peer nearby reports 12 s of work at "up-0"
    And the peer far away reports 14 s of work at "up-1"
    And a caller with a timeout of 5 s asks "chat"
    Then the caller has a 503 with Retry-After
    And its Retry-After is 1.2 to 2 s
    When a caller with a timeout of 9 s asks "chat"
    Then the caller has no answer yet
    When a caller with a timeout of 1 s asks "look"
    Then the caller has no answer yet
