Feature: New work runs only on a table that is surely current

  Scenario: Everyone serves while the store works
    Given a fleet of two data centres with a working store
    Then these hosts serve new work: a-1, a-2, a-3, b-1, b-2, b-3, a-s1, b-s1
    And the outage is unconfirmed for a-1
    And host a-1 may take over what others hold

  Scenario: A data centre that is cut off refuses
    Given a fleet of two data centres with a working store
    When data centre b loses the store and every link
    And the fleet runs for 9 s
    Then these hosts refuse new work: b-1, b-2, b-3, b-s1
    And these hosts serve new work: a-1, a-2, a-3, a-s1
    And the outage is unconfirmed for b-1
    And host b-1 may not take over what others hold

  Scenario: A data centre without the store relies on the other one
    Given a fleet of two data centres with a working store
    When data centre b loses only the store
    And the table is edited in the fleet's store
    And the fleet runs for 20 s
    Then these hosts serve new work: b-1, b-2, b-3, b-s1
    And the outage is unconfirmed for b-1

  Scenario: Serving goes on while the store is down for everyone
    Given a fleet of two data centres with a working store
    When the store goes down for everyone
    And the fleet runs for 30 s
    Then the outage is confirmed for a-1
    And the outage is confirmed for b-3
    And these hosts serve new work: a-1, a-2, a-3, b-1, b-2, b-3, a-s1, b-s1

  Scenario: The store's first answer after an outage refuses nobody
    Given a fleet of two data centres with a working store
    When the store goes down for everyone
    And the fleet runs for 30 s
    And the store answers another call of every entry than a read of the table
    Then the outage is unconfirmed for every entry
    And these hosts serve new work: a-1, a-2, a-3, b-1, b-2, b-3, a-s1, b-s1
    When the fleet runs for 1 s
    Then these hosts serve new work: a-1, a-2, a-3, b-1, b-2, b-3, a-s1, b-s1

  Scenario: An outage ends everywhere before anyone acts on it
    Given a fleet of two data centres with a working store
    When the store goes down for everyone
    And the fleet runs for 30 s
    And the store comes back
    And the fleet runs for 4 s
    Then the outage is unconfirmed for a-1
    And the outage is unconfirmed for b-1
    And host a-1 may not take over what others hold
    When the fleet runs for 9 s
    Then host a-1 may take over what others hold

  Scenario: A silent peer that may reach the store forbids the exception
    Given a fleet of two data centres with a working store
    When host a-2 stops in the fleet
    And the store goes down for everyone
    And the fleet runs for 12 s
    Then these hosts refuse new work: a-1, a-3
    And the outage is unconfirmed for a-1

  Scenario: An entry that dies in an outage stops nobody
    Given a fleet of two data centres with a working store
    When the store goes down for everyone
    And the fleet runs for 10 s
    And host a-2 stops in the fleet
    And the fleet runs for 20 s
    Then these hosts serve new work: a-1, a-3, b-1, b-2, b-3, a-s1, b-s1

  Scenario: The only entry of a data centre dies in an outage
    Given a fleet of one entry in each of three data centres
    When the store goes down for everyone
    And the fleet runs for 10 s
    And host a-1 stops in the fleet
    And the fleet runs for 20 s
    Then these hosts serve new work: b-1, c-1, a-s1, b-s1
    And the outage is confirmed for b-1

  Scenario: An entry whose host falls silent in an outage may reach the store
    Given a fleet of one entry in each of three data centres
    When the store goes down for everyone
    And the fleet runs for 10 s
    And host a-1 falls silent with its machine
    And the fleet runs for 10 s
    Then these hosts refuse new work: b-1, c-1
    And the outage is unconfirmed for b-1

  Scenario: A process that starts in an outage learns from its peers
    Given a fleet of two data centres with a working store
    When the store goes down for everyone
    And the fleet runs for 10 s
    And host a-2 starts in the fleet
    And host b-s1 starts in the fleet
    And the fleet runs for 10 s
    Then these hosts serve new work: a-1, a-2, b-s1

  Scenario: A deployment may choose to serve while cut off
    Given a fleet that serves unconfirmed
    When data centre b loses the store and every link
    And the fleet runs for 9 s
    Then these hosts serve new work: b-1, b-s1
    And host b-1 says that its promise rests

  Scenario Outline: One host that reaches the store is enough
    Given a fleet of two data centres with a working store
    When only host <name> still reaches the store
    And the fleet runs for 20 s
    Then the outage is unconfirmed for every entry
    And these hosts serve new work: a-1, a-2, a-3, b-1, b-2, b-3, a-s1, b-s1

    Examples:
      | name |
      | a-1  |
      | a-2  |
      | b-1  |
      | b-3  |

  Scenario: A late answer counts from the probe that it echoes
    Given probes to a peer went out at 1 s and at 9 s
    Then an age of 0.5 s that echoes the first probe means 0.5 s
    And an age that echoes no known probe means nothing

  Scenario: Random deaths in outages
    Then no random run of deaths and cuts breaks a promise of the fleet

  Scenario: Random faults
    Then no random run of faults breaks a promise of the fleet
