@quick
Feature: Sessions keep their version while their requests move between entries

  Scenario Outline: Sessions under way when a roll-out begins
    When <sessions> sessions move between <entries> entries in <places> data centres, with <lost> of 100 heartbeats lost, through a roll-out
    Then none moves to the target in its first half
    And none that ran on the target runs on the version before it
    And sessions that begin in the first half try the target

    Examples:
      | entries | places | sessions | lost |
      | 2       | 1      | 60       | 0    |
      | 9       | 1      | 120      | 0    |
      | 27      | 1      | 120      | 0    |
      | 27      | 3      | 120      | 0    |
      | 9       | 1      | 120      | 5    |
      | 15      | 3      | 120      | 5    |
