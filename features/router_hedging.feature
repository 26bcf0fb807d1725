@quick
Feature: A second attempt for requests that are slower than usual

  Scenario Outline: Fewer slow answers for callers, within the limit, at <entries> entries
    Given 2 in 100 answers take 8 times as long
    When <entries> entries serve callers with a limit of <share> and without hedges
    Then the 99th percentile is at most <gain> of that without
    And the 50th and 95th percentile are at most 1.05 of those without
    And the upstreams' work is at most 1.02 of that without
    And each request has one answer and nothing is left running

    Examples:
      | entries | share | gain |
      | 1       | 0.05  | 0.7  |
      | 5       | 0.05  | 0.7  |
      | 27      | 0.2   | 0.7  |

  Scenario Outline: <load>
    Given <load>
    When 1 entries serve callers with a limit of 0.05 and without hedges
    Then the 99th percentile is at most <gain> of that without
    And the 50th and 95th percentile are at most 1.05 of those without
    And the upstreams' work is at most 1.05 of that without
    And each request has one answer and nothing is left running

    Examples:
      | load                               | gain |
      | all answers become 8 times as slow | 1.05 |
      | one upstream is 8 times as slow    | 0.7  |
      | a burst of 10 times the load       | 1.05 |

  Scenario: In a burst a fixed delay hedges on, what waits is not hedged
    Given a burst of 10 times the load
    When 1 entries serve callers with a limit of 0.2 and a fixed delay of 0.25 s
    Then at least 50 hedges begin in the burst
    When 1 entries serve callers with a limit of 0.2 and without hedges
    Then at most 5 hedges begin in the burst

  Scenario: Requests earn hedges for one window only
    Then in 300 generated histories hedges stay within a share of 0.05 of the requests

  Scenario: Cancelled attempts don't make the usual time fall
    Then a route whose slow answers are all cancelled keeps its usual time

  Scenario: The first event of a stream decides
    Given a router that hedges, and a slow request to "chat"
    When the second attempt's first event comes
    Then the first attempt is cancelled at once, and later events of it are dropped

  Scenario Outline: An attempt that ends with <end> leaves the other in progress
    Given a router that hedges, and a slow request to "look"
    When the <which> attempt ends with <end>
    Then 2 attempts have been sent and the caller waits
    When the other attempt answers
    Then the caller has its answer

    Examples:
      | which  | end          |
      | first  | broken       |
      | second | broken       |
      | second | unreached    |
      | second | refuse       |
      | first  | server_error |
      | first  | unexplained  |

  Scenario: Both attempts are refused as not run
    Given a router that hedges, and a slow request to "look"
    When the first attempt ends with refuse
    And the other attempt ends with refuse
    Then another attempt has been sent

  Scenario: One attempt breaks off and the other is refused
    Given a router that hedges, and a slow request to "look"
    When the first attempt ends with broken
    And the other attempt ends with refuse
    Then no status says that the request has not run

  Scenario Outline: No second attempt: <why>
    Given a router with usual times, and a request to "<route>"
    When <why>
    And it becomes slow
    Then 1 attempts have been sent and the caller waits

    Examples:
      | route | why                                      |
      | look  | the setting is left out                  |
      | look  | the retry budget is half used            |
      | look  | the share is used up                     |
      | look  | another upstream has requests waiting    |
      | look  | the other upstreams run another version  |
      | look  | the other upstreams have named a limit   |
      | look  | the other upstreams have asked for nothing |
      | look  | the other upstreams have just failed     |
      | look  | the other upstreams are cold             |
      | look  | a version is on trial                    |
      | look  | the entry is stopping                    |
      | look  | the deadline is near                     |
      | book  | nothing else happens                     |
      | note  | nothing else happens                     |
      | chat  | its stream has begun                     |

  Scenario: An attempt that loses counts as slow in its version's trial
    Given a router that hedges, and a slow request to "look"
    When a trial of its version begins and the other attempt wins
    Then the trial has counted one slow answer

  Scenario: The limit is checked, and applied on reload
    Then a limit of 0 is refused, and of 0.3, and 0.2 is accepted
