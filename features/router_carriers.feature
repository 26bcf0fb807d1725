@quick
Feature: Large fleets forward heartbeats between data centres in bundles

  An entry counts as silent once the latest heartbeat known from it is 3 s old,
  so forwarding must keep the known heartbeats of running entries newer.

  Scenario: Traffic between data centres is small, and no entry counts as silent
    Given 5 data centres with 14 entries each
    When heartbeat ages are measured for 12 s, starting after 4 s
    Then each entry's latest heartbeat from any other was at most 2.7 s old
    And at most 140 messages and 30 KB a second were sent between data centres

  Scenario: During a roll-out heartbeats are as recent as if they were sent directly
    Given 3 data centres with 7 entries each
    When a roll-out is ordered
    And heartbeat ages are measured for 8 s, starting after 4 s
    Then each entry's latest heartbeat from any other was at most 1.5 s old

  Scenario: A bundle lists the sessions that keep their version only once
    Given 3 data centres with 7 entries each
    And every entry has served 30 sessions
    When a roll-out is ordered
    Then every entry knows all sessions that keep their version within 1 s
    When heartbeat ages are measured for 6 s, starting after 0 s
    Then at most 40 messages and 30 KB a second were sent between data centres

  Scenario: Heartbeats aren't forwarded over the slowest links
    Given 3 data centres with 7 entries each, the last 2 of which have links ten times as fast
    When the entries run on for 4 s
    Then in each data centre the last 2 entries are the forwarders
    And an entry with a slow link sends at most a quarter of what the busiest one sends
    When heartbeat ages are measured for 6 s, starting after 0 s
    Then each entry's latest heartbeat from any other was at most 2.7 s old

  Scenario: A forwarder is suspended
    Given 4 data centres with 6 entries each
    When the entries run on for 4 s
    And the first forwarder of one data centre is suspended
    And heartbeat ages are measured for 12 s, starting after 0 s
    Then each entry's latest heartbeat from any other was at most 2.9 s old
    And the forwarder counts as silent everywhere
    And the log says which entries are the forwarders now, and why

  Scenario: Both forwarders are suspended at once
    Given 4 data centres with 6 entries each
    When the entries run on for 4 s
    And both forwarders of one data centre are suspended
    And the entries run on for 6 s
    Then the running entries know one another as live

  Scenario: A resumed forwarder doesn't pass off old heartbeats as new
    Given 4 data centres with 6 entries each
    When the entries run on for 4 s
    And the first forwarder of one data centre is suspended
    And an entry of another data centre is suspended 1 s later
    And the forwarder resumes after 9 s
    And the entries run on for 1 s
    Then all entries that kept running count the suspended entry as silent

  Scenario: A data centre is isolated and reconnected
    Given 4 data centres with 6 entries each
    When the entries run on for 4 s
    And one data centre is isolated for 8 s
    Then no other data centre counts its entries as live
    When the entries run on for 2 s
    Then the running entries know one another as live

  Scenario: Messages are lost
    Given 4 data centres with 6 entries each, and 5 % of the messages between them lost
    When heartbeat ages are measured for 30 s, starting after 4 s
    Then each entry's latest heartbeat from any other was at most 6 s old

  Scenario: A new entry becomes known everywhere
    Given 4 data centres with 6 entries each
    When the entries run on for 4 s
    And an entry is added
    And the entries run on for 1.1 s
    Then the running entries know one another as live

  Scenario: A forwarded heartbeat of an earlier incarnation is ignored
    Given 4 data centres with 6 entries each
    When the entries run on for 4 s
    And a heartbeat from before an entry's restart is forwarded
    Then the entry's newest incarnation is still known
