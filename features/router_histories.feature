@quick
Feature: What must hold of the router in any history

  Scenario: One request's attempts under late, repeated and missing events
    Then in 600 generated histories every request keeps its promises

  Scenario: A roll-out's record under competing entries, lost answers and kills
    Then in 40 generated histories a roll-out's record never goes back
