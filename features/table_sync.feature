Feature: The newest table reaches every process and never goes back

  Scenario: An edit is in force everywhere within two seconds
    Given a fleet of two data centres with a working store
    When the table is edited in the fleet's store
    And the fleet runs for 2 s
    Then every process of the fleet holds the newest table

  Scenario: A cut-off data centre catches up after healing
    Given a fleet of two data centres with a working store
    When data centre b loses the store and every link
    And the table is edited in the fleet's store
    And the fleet runs for 9 s
    Then host b-1 holds an older table
    When the fleet heals
    And the fleet runs for 6 s
    Then every process of the fleet holds the newest table

  Scenario: A process that starts in an outage gets the table from peers
    Given a fleet of two data centres with a working store
    When the store goes down for everyone
    And host a-2 starts in the fleet
    And host b-s1 starts in the fleet
    And the fleet runs for 5 s
    Then every process of the fleet holds the newest table

  Scenario: An older table is never applied
    Given a table sync that holds revision 5
    When the table sync gets revision 4 from a peer
    Then the table sync holds revision 5 with digest 35

  Scenario: One revision with two digests is a fault that the store settles
    Given a table sync that holds revision 5
    When the table sync hears of revision 5 with digest 99
    Then the table sync reports a fault
    And the table sync holds revision 5 with digest 35
    When the table sync reads revision 5 with digest 99 from the store
    Then the table sync holds revision 5 with digest 99

  Scenario: Only watchers call the store while all is well
    Given a fleet of two data centres with a working store
    Then the store gets at most 2 calls a second for each watcher
