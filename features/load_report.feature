Feature: The load tool's report counts right

  Background:
    Given load arms "ours", "round_robin" and "always_strong", a deadline of 2 s
    And load phases of 10 s at half load and 10 s at 90%

  Scenario: Every arm meets the same calls
    When the load tool plans the calls of seed 11 for each arm
    Then all arms have the same calls
    And the calls of seed 12 are others

  Scenario: Figures of one class
    When these calls of class tag arrived at half load
      | whole | version | cost | failure             |
      | 1.0   | kurz@v1 | 4    |                     |
      | 1.5   | lang@v1 | 80   |                     |
      | 3.0   | kurz@v1 | 6    |                     |
      |       |         |      | allowance_exhausted |
    Then the load figures of "ours" for tag at half load are
      | figure         | value |
      | offered        | 4     |
      | answered       | 3     |
      | goodput_per_s  | 0.2   |
      | cost           | 30    |
      | quality        | 0.957 |
      | quality_target | 0.85  |
    And its only failure is allowance_exhausted, once

  Scenario Outline: Cost is held against always strong's
    When a model's answer costs "ours" <ours> and "always_strong" <strong> millicents
    Then the load verdict on "cost a model's answer, of always_strong" is <verdict>

    Examples:
      | ours | strong | verdict |
      | 40   | 100    | met     |
      | 41   | 100    | MISSED  |

  Scenario Outline: Latency is held against the best other placement's
    When whole answers take "ours" <ours> and "round_robin" <other> s <phase>
    Then the load verdict on "whole answer p95, ms" is <verdict>

    Examples:
      | phase        | ours | other | verdict |
      | at half load | 1.0  | 1.1   | met     |
      | at half load | 1.1  | 1.0   | MISSED  |
      | at 90%       | 1.0  | 2.1   | met     |
      | at 90%       | 1.0  | 1.9   | MISSED  |

  Scenario: Quality below a class's target is shown as missed
    When these calls of class chat arrived at half load
      | whole | version | cost | failure |
      | 1.0   | kurz@v1 | 4    |         |
    Then the load verdict on "quality of chat" is MISSED

  Scenario: An allowance's use is that of its busiest minute
    When attempts were placed at 0, 1, 59, 60.5 and 130 s
    Then the busiest minute saw 3 of them
    And an allowance of 3 a minute counts as kept, and one of 2 as exceeded

  Scenario: An escalation is no retry
    When the requests "a b b c c" were placed, and "b" was escalated
    Then the load tool counts 1 retry
