@quick
Feature: An entry knows what all entries have at an engine

  Background:
    Given a router that knows its configuration and 2 upstreams
    And a peer nearby and a peer in another data centre

  Scenario: What a peer has there counts like the entry's own work
    When the peer nearby tells of 5 s of work at "up-0"
    Then the next 3 chats go to "up-1"
    When the peer nearby tells of 0 s of work at "up-0"
    And the peer far away tells of 5 s of work at "up-1"
    Then the next 3 chats go to "up-0"

  Scenario: What a peer told is forgotten once it is silent
    When the peer nearby tells of 5 s of work at "up-0"
    And 4 s pass
    Then nothing is known of others' work

  Scenario: Long prompts are told nearby at once, short ones with the heartbeat
    When 0.6 s pass
    And a caller asks "chat" with a prompt of 12000 tokens
    And 0.06 s pass
    Then the peer nearby has been told of work there, the peer far away not
    When 0.6 s pass
    And a caller asks "chat" with a prompt of 200 tokens
    And 0.06 s pass
    Then no peer has been told of it yet

  Scenario: Many entries in other data centres hear less often, and of much work alone
    Given 12 more peers in the other data centre
    When a caller asks "chat" with a prompt of 12000 tokens
    And a caller asks "note" with a prompt of 300 tokens
    And 6 s pass
    Then the peer nearby has had at least 10 heartbeats, the peer far away at most 5
    And only the peer nearby was told of the short prompt
    But in a roll-out the peer far away has at least 5 in 6 s

  Scenario: Few entries in other data centres hear each second, and of all work
    When a caller asks "note" with a prompt of 300 tokens
    And 6 s pass
    Then the peer nearby has had at least 10 heartbeats, the peer far away at most 7
    And the peer far away has had at least 5 heartbeats, and was told of the short prompt

  Scenario Outline: A place in a queue that moves is kept
    When a caller asks "chat" with a prompt of 6000 tokens
    And <heard> from its upstream while it is silent for <silent> s
    Then its attempts are <attempts>

    Examples: The objective is 2 s
      | heard                     | silent | attempts |
      | nobody hears              | 1.0    | 1        |
      | nobody hears              | 1.6    | 2        |
      | the peer nearby hears     | 1.6    | 1        |
      | the peer nearby hears     | 4.5    | 2        |
      | another request hears     | 1.6    | 1        |

  Scenario: Speeds come near those of an idle engine though most prompts wait
    Then after 60 prompts that are read at 21 tokens/ms behind 0 to 2 s of others, the speed is 14 to 24 tokens/ms

  Scenario: What can't begin before its caller leaves is refused at once
    When the peer nearby tells of 12 s of work at "up-0"
    And the peer far away tells of 14 s of work at "up-1"
    And a caller with a timeout of 5 s asks "chat"
    Then the caller has a 503 with Retry-After
    And its caller may come back after 1.2 to 2 s
    When a caller with a timeout of 9 s asks "chat"
    Then the caller has no answer yet
    When a caller with a timeout of 1 s asks "look"
    Then the caller has no answer yet
