@quick
Feature: Placement, retry budget and failing upstreams under load

  Scenario: Long prompts are spread over the upstreams by their work
    Given a router that knows its configuration and 4 upstreams
    When 12 callers ask "chat" with prompts of 12000 tokens at once
    Then no upstream has more than 4 of them

  Scenario: Placement by work makes prompts wait less than by request count
    Then the mean wait is shorter than with placement by request count, over 20 seeds

  Scenario: The own data centre is preferred while it has capacity
    Given a router with 2 upstreams here and 2 in another data centre
    When 2 callers ask "chat" with prompts of 1000 tokens at once
    Then all of them are sent to this data centre
    When 30 callers ask "chat" with prompts of 12000 tokens at once
    Then some of them are sent to the other data centre

  Scenario: A prompt goes to the upstream that has its parts cached
    Given a router that knows its configuration and 4 upstreams
    When a caller in session "s-1" asks "chat" and is answered
    And a caller in session "s-1" asks "chat" again
    Then both went to the same upstream

  Scenario: Retries stay within the budget of all entries
    Given a router that knows its configuration and 30 upstreams
    When 200 callers ask "look" and every upstream breaks the connection
    Then there are at most 0.9 retries for each request and 56 more

  Scenario: Entries that share the retry budget stay within it together
    Then the retries of 5 entries together stay within ratio and extra in any 10 s

  Scenario: An upstream that fails several times in a row is set aside for a time
    Given a router that knows its configuration and 3 upstreams
    When upstream 0 fails 3 times in a row
    Then none of the next 20 requests goes to upstream 0
    When 2 s pass
    Then some of the next 40 requests go to upstream 0

  Scenario: An upstream that is leaving gets no more requests
    Given a router that knows its configuration and 3 upstreams
    When upstream 0 is listed as leaving
    Then none of the next 20 requests goes to upstream 0

  Scenario: An upstream that was removed from the list gets no more requests
    Given a router that knows its configuration and 3 upstreams
    When upstream 0 is removed from the list
    Then none of the next 20 requests goes to upstream 0

  Scenario: Upstreams that were removed in a store outage are kept for a while
    Given a router that knows its configuration and 3 upstreams
    When the store fails
    And upstream 0 is removed from the list
    Then some of the next 40 requests go to upstream 0
    When the store answers again and 2.5 s pass
    Then none of the next 20 requests goes to upstream 0

  Scenario: An upstream that is removed after the store's return gets no more requests
    Given a router that knows its configuration and 3 upstreams
    When the store fails
    And the store answers again and 0.6 s pass
    And upstream 0 is removed from the list
    Then none of the next 20 requests goes to upstream 0

  Scenario: A request that is answered after each broken connection isn't a suspect
    Given a router that knows its configuration and 9 upstreams
    When the connection of the same request breaks and its retry is answered, 5 times
    Then the same request is sent to an upstream

  Scenario: A request that crashes its upstreams is refused by every entry
    Given a router that knows its configuration and 9 upstreams
    When the same request crashes 3 upstreams
    Then the same request is refused as not run
    And the same request is refused as not run by a peer that has got a heartbeat
