@platform
Feature: Entries through the store's troubles, stops and kills

  Scenario Outline: Keys are refused once freshness can't be proved, and come back
    Given 2 entries on the platform
    When the store <fault> for entry 0
    Then entry 0 refuses keys between 3 s and 5 s later, as not run
    And entry 0 isn't ready, but entry 1 is and serves
    When the store serves entry 0 again
    Then entry 0 serves again within 2 s

    Examples:
      | fault   |
      | is busy |
      | is silent |
      | resets  |

  Scenario: A key that was taken away while an entry was suspended
    Given 2 entries on the platform
    When entry 0 is suspended, the key is taken away, and 5.2 s pass
    And entry 0 is resumed
    Then no request that is sent to entry 0 with that key runs

  Scenario: History that is gone
    Given 1 entries on the platform
    When the store drops its history and a runner leaves unseen
    Then no request reaches that runner after 3 s

  Scenario: Entries of other writers name no runner
    Given 1 entries on the platform
    When foreign entries are written beside the runners'
    Then the entry goes on serving and logs them

  Scenario: A leaving runner gets nothing more
    Given 1 entries on the platform
    When a runner says that it is leaving
    Then no request reaches that runner after 1 s

  Scenario: A graceful stop answers everything, and leaves
    Given 2 entries on the platform
    When callers stream from entry 0 and it is asked to stop
    Then all their streams are whole
    And entry 0 isn't ready at once, ends within 8 s with code 0
    And its registration is gone

  Scenario: A killed entry serves soon after its restart
    Given 1 entries on the platform
    When entry 0 is killed and started again
    Then a caller that connects meanwhile is served

  Scenario: A good version is rolled out over all entries
    Given 2 entries on the platform
    When a good version is ordered within 6 s
    Then the roll-out's status is "completed" within 7 s
    And its status was written by conditional calls

  Scenario: Entries find each other from what may be old
    Given 3 entries on the platform
    Then every entry hears 2 others within 6 s
    And of its calls to the store, those for entries and roll-outs allow an old answer

  Scenario: A bad version is rolled back
    Given 2 entries on the platform
    When a version that fails is ordered within 12 s
    Then the roll-out's status is "rolled_back" within 12 s

  Scenario Outline: The record survives writes that are lost or late
    Given 2 entries on the platform
    When the store <fault> for entry 0
    And a good version is ordered within 6 s
    Then the roll-out's status is "completed" within 9 s

    Examples:
      | fault                  |
      | loses answers          |
      | does writes late       |

  Scenario: Bad settings are named, each with its remedy
    Then an entry with bad settings ends with code 1 and names each fault
