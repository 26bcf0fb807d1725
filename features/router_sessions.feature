@quick
Feature: Sessions keep their version while their requests go to different entries

  Scenario Outline: Sessions that are alive when a roll-out begins
    When <sessions> sessions use <entries> entries in <data centres> data centres during a roll-out, with <lost> % of the heartbeats lost
    Then no session moves to the target in the first half
    And no session moves from the target back to the old version
    And some requests run on the target in the first half

    Examples:
      | entries | data centres | sessions | lost |
      | 2       | 1            | 60       | 0    |
      | 9       | 1            | 120      | 0    |
      | 27      | 1            | 120      | 0    |
      | 27      | 3            | 120      | 0    |
      | 9       | 1            | 120      | 5    |
      | 15      | 3            | 120      | 5    |
