@quick
Feature: One entry of a data centre reads the store, and the others know enough

  Scenario Outline: In quiet times one entry reads
    When <entries> entries follow the store for 20 s
    Then at most 1 of them reads it
    And it got at most <calls> calls
    And every entry knew in time what holds

    Examples:
      | entries | calls |
      | 2       | 100   |
      | 14      | 220   |

  Scenario: Knowledge stays in bounds under troubles, in generated histories
    Then in 25 histories with 6 entries each entry knows in time what holds

  Scenario: Where the bounds leave no time, each entry reads
    Given a router that knows its configuration and 3 upstreams
    And a peer that reads the store and keeps it informed
    When 5 s pass
    Then it still reads the store itself

  Scenario Outline: Upstreams that register one after the other are told together
    When an entry <allows> follows the store while 60 upstreams register in 1.5 s
    Then it knows all of them within 0.5 s of the last
    And its watches were at least <least> and at most <most>

    Examples:
      | allows                          | least | most |
      | whose bounds allow for readers  | 2     | 8    |
      | whose bounds leave no time      | 20    | 61   |
