@quick
Feature: An upstream gets no more requests than the limit that it names

  The limit applies to all entries together, and to every kind of attempt.

  Scenario Outline: Entries together keep to a named limit
    Given <entries> entries in <centres> data centres under load
    When an upstream names a limit of <limit> requests a second for 40 s
    Then it gets no more than allowed in any 4 s
    And it gets at least <least> requests a second

    Examples:
      | entries | centres | limit | least |
      | 1       | 1       | 1     | 0.5   |
      | 5       | 1       | 0.2   | 0.02  |
      | 5       | 3       | 1     | 0.3   |
      | 5       | 3       | 8     | 2     |
      | 27      | 3       | 1     | 0.3   |
      | 27      | 3       | 12    | 3     |
      | 68      | 5       | 2     | 0.6   |

  Scenario: The entries of one data centre with all the load keep to a limit
    Given 5 entries in 3 data centres under load in one of them
    When an upstream names a limit of 1 requests a second for 40 s
    Then it gets no more than allowed in any 4 s

  Scenario: Entries keep to a limit while some are killed, added or cut off
    Then in 20 histories entries keep to the limits that upstreams name

  Scenario: A limit that changes applies at once
    Given 5 entries in 3 data centres under load
    When an upstream names a limit of 20 requests a second for 10 s
    And the upstream names a limit of 1 requests a second for 20 s
    Then it gets no more than allowed in any 4 s

  Scenario: A limit that has ended doesn't hold requests back
    Given 5 entries in 3 data centres under load
    When an upstream names a limit of 1 requests a second for 10 s
    And the upstream names no limit any more for 20 s
    Then it gets as many requests as another in the last 10 s

  Scenario: Other upstreams serve what a limited one doesn't accept
    Given 5 entries in 3 data centres under load
    When an upstream names a limit of 0.5 requests a second for 20 s
    Then no request is refused

  Scenario: What limited upstreams don't accept is refused at once
    Given 5 entries in 3 data centres under load
    When all upstreams name a limit of 1 requests a second for 20 s
    Then no upstream gets more than allowed in any 4 s
    And refused requests get 503 at once, and Retry-After spreads them to 6 a second

  Scenario: The answer of a smaller model is kept if no upstream accepts more
    Given a router that knows its configuration and 1 upstreams
    When its upstream has named a limit of 1 requests a second
    And a caller asks "chat" once the limit allows it
    And the upstream, still limited, answers with confidence 10
    And the upstream sends events 1 to 3 and ends the stream
    Then the caller has events 1 to 3, and the stream has ended
    And the request has been sent 1 times

  Scenario Outline: Only a genuine answer without a limit ends it
    Given a router that knows its configuration and 2 upstreams
    When upstream "up-0" has named a limit of 0.1 requests a second
    And an answer of <kind> without a limit arrives from "up-0"
    Then "up-0" is <state>

    Examples:
      | kind                 | state       |
      | its own              | unlimited   |
      | unknown origin       | limited     |
      | another process      | limited     |
