@quick
Feature: Invariants of the router in generated histories

  Scenario: A request's attempts with late, repeated and missing events
    Then in 600 generated histories no request violates an invariant
    And the same holds in 600 generated histories with hedges

  Scenario: A roll-out's record with competing entries, lost answers and kills
    Then in 40 generated histories a roll-out's record never regresses
