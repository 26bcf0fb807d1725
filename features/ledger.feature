Feature: Ledger

  Records are put if their key is absent. A shard's owner commits them in
  groups; the store decides who owns a shard.

  Scenario: The ledger's first value of a key wins
    Given a ledger with the owners a, b and a client
    And the ledger holds the pin "pin/s1" as "small@1"
    When another ledger client puts the pin "pin/s1" as "small@2"
    Then the ledger client was told "existing small@1 durable"

  Scenario: The ledger outlives an owner that is killed
    Given a ledger with the owners a, b and a client
    And the ledger holds the claim "claim/k1" as "r1"
    When the ledger owner of that key is killed
    And another ledger client puts the claim "claim/k1" as "r2"
    Then the ledger client was told "existing r1 durable"

  Scenario: A paused ledger owner finds out that it was replaced
    Given a ledger with the owners a, b and a client
    And the ledger holds the claim "claim/k1" as "r1"
    When the ledger owner of that key is paused for 10 seconds
    And another ledger client puts the claim "claim/k1" as "r2"
    And the ledger's former owner resumes with the same put already in hand
    Then the ledger client was told "existing r1 durable"
    And the ledger's former owner holds no shard

  Scenario: A ledger owner that leaves in good order causes no grace window
    Given a ledger with the owners a, b and a client
    And the ledger holds the pin "pin/s1" as "small@1"
    When the ledger owner of that key leaves in good order
    And the ledger client puts the pin "pin/s1" as "small@1"
    Then the ledger client was told "stored small@1 durable"

  Scenario: An allowance owner follows the ledger owner of its process
    Given a ledger with the owners a, b and a client
    And the ledger holds the pin "pin/s1" as "small@1"
    When the ledger owner of that key leaves in good order
    Then each ledger owner's allowance owner owns what it owns, confirmed

  Scenario: A ledger put that need not wait is accepted in an outage
    Given a ledger with the owners a, b and a client
    When the store is down for everyone
    And the ledger client puts the pin "pin/s1" as "small@1" without waiting
    Then the ledger client was told "stored small@1"
    When the store is back
    And 10 ledger seconds pass
    Then the ledger client was told "stored small@1, then stored small@1 durable"

  Scenario: A ledger put that must be durable is refused at once in an outage
    Given a ledger with the owners a, b and a client
    When the store is down for everyone
    And the ledger client puts the claim "claim/k1" as "r1"
    Then the ledger client was told "unavailable"

  Scenario: A ledger put that waits is answered when an outage is confirmed
    Given a ledger with the owners a, b and a client
    When the store does not answer the ledger
    And the ledger client puts the claim "claim/k1" as "r1"
    Then the ledger client was not answered yet
    When another ledger client puts the pin "pin/s1" as "small@1" without waiting
    Then the ledger client was not answered yet
    When the store is down for everyone
    Then the ledger client was told "stored small@1"
    And the first ledger client's put was answered "unknown"

  Scenario: A ledger client hands in again what a lost owner had accepted
    Given a ledger with the owners a, b and a client
    When the store is down for everyone
    And the ledger client puts the pin "pin/s1" as "small@1" without waiting
    And the ledger owner of that key is killed
    And the store is back
    And 10 ledger seconds pass
    Then the ledger client was told "stored small@1, then stored small@1 durable"

  Scenario: A new ledger owner lets accepted records come before new ones
    Given a ledger with the owners a, b and a client
    When the store is down for everyone
    And the ledger client puts the pin "pin/s1" as "small@1" without waiting
    And the ledger owner of that key is killed
    And the store is back
    And another ledger client puts the pin "pin/s1" as "small@2"
    And 12 ledger seconds pass
    Then the ledger client was told "existing small@1 durable"

  Scenario: The ledger bills each request once over checkpoints and owners
    Given a ledger with the owners a, b, c and a client
    When the ledger client puts 30 bills, each of them twice
    And the ledger owner of that bill is killed
    And 30 ledger seconds pass
    Then each of the 30 bills is in the ledger's objects once
    And the ledger's log is at most 6 segments long

  Scenario: The ledger takes a late create for no commit
    Given a ledger with the owners a, b and a client
    When a ledger owner's segment is created only after its successor deleted that one
    Then that ledger owner tells nobody that the records are durable
    And the ledger's former owner holds no shard

  Scenario: The ledger archives each bill once when a checkpoint lands late
    Given a ledger with the owners a, b and a client
    When a ledger checkpoint lands after the next owner read the former one
    Then each bill that the ledger clients put is there once

  Scenario: A ledger owner that may have released a shard accepts no more
    Given a ledger with the owners a, b and a client
    When the answer to a ledger owner's release is lost in an outage
    Then that ledger owner accepts nothing without durability

  Scenario: The ledger client learns of durability though answers were lost
    Given a ledger with the owners a, b and a client
    When 20 ledger puts are accepted in an outage and every answer is lost
    Then the ledger client knows within 5 seconds that all are durable

  Scenario: The ledger writes few bytes more than it is given
    When a ledger shard takes 50 records a second of about 120 bytes for 300 seconds
    Then the ledger writes at most 400 bytes a record, and rewriting one object 20 times as many or more

  Scenario: The ledger holds ten minutes of an outage
    When the store is down for 600 seconds for a ledger shard with 50 records a second
    Then the ledger shard holds 30000 records in at most 24 MB and stores all of them afterwards

  Scenario: The ledger agrees with a naive dictionary under faults
    Then 150 random ledger runs agree with a naive dictionary
