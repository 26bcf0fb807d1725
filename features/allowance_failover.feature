Feature: Allowances over the death of an owner, with real processes

  Scenario: A steady stream goes on while a dead allowance owner is replaced
    Given a fleet of its own for the allowance
    And each entry serves "tc-hall" within the allowance
    When the entry that owns the allowance of "tc-hall" is killed
    Then 24 requests of "tc-hall" to the other entries are all answered
    And another entry owns the allowance of "tc-hall"
