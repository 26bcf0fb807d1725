@quick
Feature: A cold upstream gets no more requests than it tolerates

  The bound applies to all entries together, also to those that are cut off or
  have just started.

  Scenario Outline: Entries with uneven load use what a cold upstream tolerates
    Given <entries> entries in <centres> data centres under uneven load, and upstreams that tolerate <rate> requests a second when cold
    When the list says for 12 s that all upstreams are cold
    Then no cold upstream gets more than allowed in any second
    And each gets at least 0.8 of that
    And refused requests get 503 at once, and Retry-After spreads them to 20 a second

    Examples:
      | entries | centres | rate |
      | 1       | 1       | 10   |
      | 5       | 3       | 10   |
      | 27      | 3       | 10   |
      | 27      | 3       | 20   |
      | 70      | 5       | 10   |

  Scenario: Equal parts leave much of it unused
    Given 70 entries that divide permits equally
    When the list says for 12 s that all upstreams are cold
    Then one gets less than 0.8 of that

  Scenario: Entries keep to the bound while some are killed, added or cut off
    Then in 10 histories no cold upstream gets more than allowed

  Scenario: A data centre that is cut off for long doesn't take all for itself
    Given 9 entries in 3 data centres under uneven load, and upstreams that tolerate 10 requests a second when cold
    When a data centre is cut off for 45 s
    Then no cold upstream gets more than allowed in any second

  Scenario: Upstreams of a data centre come back cold and unannounced
    Given 27 entries and 6 upstreams under a burst
    When a data centre is dark for 1 s, and is back unannounced
    Then no cold upstream gets more than allowed in any second

  Scenario: Upstreams may be cold after an evacuation
    Given 27 entries and 6 upstreams under a burst
    When an evacuation of a data centre ends
    Then no cold upstream gets more than allowed in any second

  Scenario: Entries that start just after an evacuation keep to the bound
    Given 5 entries in 3 data centres under a burst
    When an evacuation of a data centre ends, and two entries start
    Then no cold upstream gets more than allowed in any second

  Scenario: An upstream that has started again counts as cold
    Given 27 entries and 6 upstreams under a burst
    When an upstream has started again, and the list doesn't say it is cold
    Then no cold upstream gets more than allowed in any second

  Scenario: Where no bound is set, coldness decides nothing
    Then without the settings a cold upstream gets the same as a warm one

  Scenario Outline: What is known of coldness
    Given an entry whose upstreams may be cold
    When <news>
    Then "up-0" counts as cold for <left> s

    Examples:
      | news                                                 | left |
      | nothing has happened                                 | 0    |
      | the list says that "up-0" is cold for 1.5 s          | 1.5  |
      | "up-0" is listed with another start                  | 3    |
      | "up-0" isn't reached                                 | 9    |
      | "up-0" isn't reached, and answers the next request   | 3    |
      | it is listed as cold for 8 s, fails and answers       | 7    |
      | another entry tells that "up-0" is cold for 2 s      | 2    |

  Scenario: An entry doesn't pass on what it was told
    Given an entry whose upstreams may be cold
    When another entry tells that "up-0" is cold for 2 s
    Then its next heartbeat reports no cold upstream

  Scenario: The log tells when an upstream turns cold and warm
    Given an entry whose upstreams may be cold
    When the list says that "up-0" is cold for 1.5 s
    And 2 s pass
    Then the log has "upstream_cold" and "upstream_warm" of "up-0"

  Scenario: Bounds, terms and figures come from the deployment
    Then settings may lack the bounds of cold upstreams, and have a slack of 0
    And the list and the configuration tell what upstreams tolerate when cold
