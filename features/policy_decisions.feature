Feature: Placement, admission, cascade and retry budget decide well

  Scenario: Placement prefers the upstream that holds the session
    Given placement candidates
      | name | own | running | waiting | cached | leaving |
      | a    | 2   | 4       | 0       | 0      | no      |
      | b    | 2   | 4       | 0       | 0      | no      |
    When placement chooses for a session last served by "b"
    Then placement chose "b" for the reason "session"

  Scenario: Placement moves a session off an upstream that is overloaded
    Given placement candidates
      | name | own | running | waiting | cached | leaving |
      | a    | 0   | 0       | 0       | 0      | no      |
      | b    | 30  | 8       | 22      | 0      | no      |
    When placement chooses for a session last served by "b"
    Then placement chose "a" for the reason "least_wait"

  Scenario: Placement goes where the prompt's prefix is cached
    Given placement candidates
      | name | own | running | waiting | cached | leaving |
      | a    | 2   | 4       | 0       | 0      | no      |
      | b    | 2   | 4       | 0       | 90     | no      |
    When placement chooses for a prompt of 100 blocks
    Then placement chose "b" for the reason "prefix"

  Scenario: Placement leaves a leaving upstream even with its session there
    Given placement candidates
      | name | own | running | waiting | cached | leaving |
      | a    | 9   | 8       | 9       | 0      | no      |
      | b    | 0   | 0       | 0       | 100    | yes     |
    When placement chooses for a session last served by "b"
    Then placement chose "a" for the reason "only_candidate"

  Scenario: Placement never picks a leaving or excluded upstream
    Then placement chooses only usable upstreams in 200 random fleets

  Scenario: Admission refuses a request that would miss its deadline
    Given an admission queue with 2 slots, a service time of 1 s and 8 requests
    When a request with a deadline in 2 s arrives
    Then admission sheds it as "deadline_unreachable" with a retry delay

  Scenario: Admission serves the highest priority first
    Given an admission queue with 1 slot and these requests
      | request | organisation | priority |
      | low     | x            | 9        |
      | mid     | x            | 5        |
      | high    | x            | 0        |
    Then admission starts "high, mid, low"

  Scenario: Admission queues fairly between organisations
    Given an admission queue with 1 slot and these requests
      | request | organisation | priority |
      | f1      | burst        | 5        |
      | f2      | burst        | 5        |
      | f3      | burst        | 5        |
      | c1      | other        | 5        |
    Then admission starts "f1, c1, f2, f3"

  Scenario: Admission drops the lowest priority when its queue is full
    Given an admission queue with 1 slot, a limit of 2 and these requests
      | request | organisation | priority |
      | low     | x            | 9        |
      | mid     | x            | 5        |
      | high    | x            | 0        |
    Then admission has shed "low" as "overloaded"

  Scenario: Admission sheds a request delayed past its deadline by higher priorities
    Given an admission queue with 1 slot and a request due in 4.0 s
    When 5 requests of priority 0 are admitted and 0.5 s pass
    Then admission has shed "low" as "deadline_unreachable"

  Scenario: Admission adds jitter to retry delays
    Given an admission queue with 2 slots, a service time of 1 s and 8 requests
    Then 20 refusals by admission have distinct retry delays

  Scenario: Admission starts no request that it expects to miss its deadline
    Then admission meets its guarantees in 100 random sequences

  Scenario: Cascade mostly runs the strongest version while it has no ratings
    Given a cascade without ratings
    Then at least 80% of 500 cascade plans run "strong" directly, all to be rated
    And every other cascade plan runs "cheap" first and may escalate to "strong"

  Scenario: Cascade runs the cheap version alone when it meets the target
    Given a cascade with 400 ratings of "cheap" with mean 0.95
    And the cascade has 400 ratings of "strong" with mean 0.97
    Then the cascade's regular plan for target 0.9 is "cheap"

  Scenario: Cascade escalates when the cheap version alone misses the target
    Given a cascade with 400 ratings of "cheap" with mean 0.8
    And the cascade has 400 ratings of "strong" with mean 0.93
    Then the cascade's regular plan for target 0.85 is "cheap then strong"

  Scenario: Cascade runs the strong version when the cheap one is rated very low
    Given a cascade with 400 ratings of "cheap" with mean 0.3
    And the cascade has 400 ratings of "strong" with mean 0.92
    Then the cascade's regular plan for target 0.9 is "strong"

  Scenario: Cascade stops running a cheap version alone after its ratings drop
    Given a cascade with 2000 ratings of "cheap" with mean 0.95
    And the cascade has 400 ratings of "strong" with mean 0.97
    When the cascade observes 150 more ratings of "cheap" with mean 0.6
    Then the cascade's regular plan for target 0.9 is not "cheap"

  Scenario: Cascade uses the ratings of other organisations for a new one
    Given a cascade with 400 ratings of "cheap" with mean 0.95
    And the cascade has 400 ratings of "strong" with mean 0.97
    Then the cascade's regular plan for a new organisation is "cheap"

  Scenario: Retry budget lets only a share of successes be retried
    Then the retry budget stays within its limit in 200 random sequences

  Scenario: Retry budget starves a retry storm
    Given a retry budget after 1000 attempted retries
    Then the retry budget allows at most 12 of 1000 retries in 20 s
