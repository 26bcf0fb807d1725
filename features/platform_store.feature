@platform
Feature: Entries during store failures, graceful stops and crashes

  Scenario Outline: Keys are refused while freshness can't be proved
    Given 2 entries on the platform
    When the store <fault> for entry 0
    Then entry 0 starts to refuse keys after 3 s to 5 s, and runs no such request
    And entry 0 isn't ready, but entry 1 is ready and serves
    When the store serves entry 0 again
    Then entry 0 serves again within 2 s

    Examples:
      | fault              |
      | is busy            |
      | doesn't respond    |
      | resets connections |

  Scenario: A key revoked while an entry was suspended is refused
    Given 2 entries on the platform
    When entry 0 is suspended, the key is revoked, and 5.2 s pass
    And entry 0 is resumed
    Then no request sent to entry 0 with that key is run

  Scenario: A removal is noticed although the store discarded its history
    Given 1 entries on the platform
    When a runner is removed and the store discards its history
    Then no request reaches that runner after 3 s

  Scenario: A route is added after the store was restored from a copy
    Given 2 entries on the platform
    When the configuration is written 5 times and the store goes back by 4
    And the operators write the lost version and add a route
    Then each entry serves the new route within 2 s
    And no entry has activated an older version

  Scenario: Entries register again when a restored store has lost them
    Given 2 entries on the platform
    When the store is restored from a copy without the entries
    Then both entries are registered within 3 s

  Scenario: Invalid upstreams in the store are ignored
    Given 1 entries on the platform
    When invalid upstreams are written beside the runners
    Then the entry continues to serve and logs each invalid upstream

  Scenario: A draining runner receives no more requests
    Given 1 entries on the platform
    When a runner is registered as draining
    Then no request reaches that runner after 1 s

  Scenario: A graceful stop answers everything, and leaves
    Given 2 entries on the platform
    When entry 0 is asked to stop while it streams to callers
    Then all streams are complete
    And entry 0 stops being ready at once, and exits within 8 s with code 0
    And its registration is removed

  Scenario: A killed entry accepts callers while it restarts
    Given 1 entries on the platform
    When entry 0 is killed and restarted
    Then a caller that connects during the start is served

  Scenario: A working version is rolled out on all entries
    Given 2 entries on the platform
    When a roll-out of a working version over 6 s is ordered
    Then the roll-out's status is "completed" within 7 s
    And its status was written with conditional calls, once per state

  Scenario: Entries find each other from stale reads
    Given 3 entries on the platform
    Then every entry receives heartbeats from 2 others within 6 s
    And only watches of entries and roll-outs allow stale responses

  Scenario: A failing version is rolled back
    Given 2 entries on the platform
    When a roll-out of a failing version over 12 s is ordered
    Then the roll-out's status is "rolled_back" within 12 s

  Scenario Outline: The roll-out's record survives lost or delayed writes
    Given 2 entries on the platform
    When the store <fault> for entry 0
    And a roll-out of a working version over 6 s is ordered
    Then the roll-out's status is "completed" within 9 s

    Examples:
      | fault           |
      | loses responses |
      | delays writes   |

  Scenario: Each invalid setting is named
    Then an entry with invalid settings exits with code 1 and names each invalid field
