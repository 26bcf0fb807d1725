@quick
Feature: One entry per data centre reads the store for the others

  Scenario Outline: Without faults, only one entry reads the store
    When <entries> entries run for 20 s
    Then at most 1 of them is a reader
    And the store received at most <calls> calls
    And every entry's data stayed within its age limits

    Examples:
      | entries | calls |
      | 2       | 100   |
      | 14      | 220   |

  Scenario: Data stays within its age limits in histories with faults
    Then in 25 histories with 6 entries all data stays within its age limits

  Scenario: Each entry reads the store if the bounds are too short for a relay
    Given a router that knows its configuration and 3 upstreams
    And a peer that is a reader
    When 5 s pass
    Then it is still a reader and has sent no update requests

  Scenario Outline: Successive registrations of upstreams are reported in batches
    When an entry whose bounds <bounds> a relay watches 60 upstreams register in 1.5 s
    Then it knows all of them 0.5 s after the last
    And it used between <least> and <most> watches

    Examples:
      | bounds             | least | most |
      | allow              | 2     | 8    |
      | are too short for  | 20    | 61   |
