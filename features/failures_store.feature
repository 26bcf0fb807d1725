Feature: The store fails, or cannot be reached, and serving goes on or stops

  Background:
    Given a fleet that offers "kurz@v1" and "kurz@v2"

  Scenario: The store's calls stay in the budget at the start and after it
    Then the store has throttled nothing and no peak was over its rates
    Given callers keep every entry busy with "kurz"
    Then the store's calls stay in the budget for 5 seconds

  Scenario: An outage that begins refuses nobody
    Given callers keep every entry busy with "kurz"
    When the store is taken down
    Then callers are served for 9 seconds
    And no caller was refused

  Scenario: An outage for everyone and its end refuse nobody
    Given callers keep every entry busy with "kurz"
    When the store is taken down
    Then callers are served for 9 seconds
    And every entry says that it serves in an outage
    When the store answers again
    Then callers are served for 6 seconds
    And no caller was refused since the outage was known to all
    And the store's calls stay in the budget for 3 seconds
    When the operator sets "state" of "kurz@v1" to "withdrawn"
    Then the edit is in force in time
    And "kurz@v1" gets no more runs

  Scenario: An entry cut from the store and from all others refuses new work
    Given entry 0 has answered "kurz"
    When entry 0 is cut from the store and every other entry is paused
    Then entry 0 comes to refuse with "table_not_confirmed"
    And nothing runs at the engines while it refuses
    When the others go on and the store hears entry 0 again
    Then entry 0 serves again

  Scenario: An entry cut from the store hands its shards to others
    Given callers keep every entry busy with "kurz"
    When the entry that owns most shards is cut from the store
    Then the other entries come to own all shards
    And callers are served for 6 seconds
    And the entry that is cut off goes on with a fresh table
    And no caller got a broken answer

  Scenario: An entry is killed in an outage, and everyone is served again
    Given callers keep entries 1 and 2 busy with "kurz"
    When the store is taken down
    Then callers are served for 6 seconds
    When entry 0 is killed
    And the store answers again
    Then every shard has an owner among the entries that run
    And callers are served for 3 seconds
    And no caller got a broken answer

  Scenario: The owner of the callers' allowance is killed in an outage
    Given callers keep every entry busy with "kurz@v2"
    When the store is taken down
    Then callers are served for 6 seconds
    When the owner of the callers' allowance of "kurz@v2" is killed
    Then callers are served for 14 seconds
