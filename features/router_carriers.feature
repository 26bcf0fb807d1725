@quick
Feature: Entries of large fleets tell of themselves through carriers

  What an entry knows of another is at most 3 s old, or that one counts as
  silent.

  Scenario: Few bytes go between data centres, and all are known to live
    Given 5 data centres with 14 entries each
    When the entries are watched for 12 s after the first 4
    Then every entry has known each other one by at most 2.7 s old news
    And at most 140 frames and 30 KB a second went between data centres

  Scenario: In a roll-out the news is as fresh as if it were told directly
    Given 3 data centres with 7 entries each
    When a roll-out is ordered
    And the entries are watched for 8 s after the first 4
    Then every entry has known each other one by at most 1.5 s old news

  Scenario: Sessions that stay on their version are told once a bundle
    Given 3 data centres with 7 entries each
    And 30 sessions have run at every entry
    When a roll-out is ordered
    Then every entry knows all sessions that stay within 1 s
    When the entries are watched for 6 s after the first 0
    Then at most 40 frames and 30 KB a second went between data centres

  Scenario: A carrier is lost
    Given 4 data centres with 6 entries each
    When the entries go on for 4 s
    And the first carrier of one data centre falls asleep
    And the entries are watched for 12 s after the first 0
    Then every entry has known each other one by at most 2.9 s old news
    And the carrier counts as silent everywhere
    And the log tells who carries in its place, and why

  Scenario: Both carriers are lost at once
    Given 4 data centres with 6 entries each
    When the entries go on for 4 s
    And both carriers of one data centre fall asleep
    And the entries go on for 6 s
    Then the entries that are awake know one another as live

  Scenario: A carrier wakes up and hands on what is old
    Given 4 data centres with 6 entries each
    When the entries go on for 4 s
    And the first carrier of one data centre falls asleep
    And an entry elsewhere is lost 1 s later
    And the carrier wakes up after 9 s
    And the entries go on for 1 s
    Then the lost entry counts as silent with all that stayed awake

  Scenario: A data centre is cut off and comes back
    Given 4 data centres with 6 entries each
    When the entries go on for 4 s
    And one data centre is cut off for 8 s
    Then nothing is taken to live there
    When the entries go on for 2 s
    Then the entries that are awake know one another as live

  Scenario: Frames get lost
    Given 4 data centres with 6 entries each, and every twentieth frame lost
    When the entries are watched for 30 s after the first 4
    Then every entry has known each other one by at most 6 s old news

  Scenario: A new entry is heard of everywhere
    Given 4 data centres with 6 entries each
    When the entries go on for 4 s
    And an entry is added
    And the entries go on for 1.1 s
    Then the entries that are awake know one another as live

  Scenario: News of the last incarnation doesn't replace that of the new one
    Given 4 data centres with 6 entries each
    When the entries go on for 4 s
    And a carrier passes on what an entry told before its restart
    Then the entry's newest incarnation is known
