Feature: Engines hold what the table names, whoever dies

  Scenario: A new row's version is loaded, served, and unloaded again
    Given a roll-out fleet whose engine 0 obeys any order
    When the roll-out operator adds "kurz" "v2" for "tc-hall"
    Then at least 1 engine of the roll-out fleet holds "kurz@v2" at last
    And "tc-hall" is answered by "kurz@v2" at last
    When the roll-out operator sets "kurz" "v2" for "tc-hall" to "withdrawn"
    Then 0 engines of the roll-out fleet hold "kurz@v2" at last
    And 5 engines of the roll-out fleet hold "kurz@v1" at last
    And the plain services' version was never loaded
    And no engine of the roll-out fleet obeyed a stale order

  Scenario: The duty's owner is killed half-way and another one finishes
    Given a roll-out fleet whose engine 0 obeys any order
    When the roll-out operator adds "mittel" "v1" for "tc-hall"
    And the owner of the roll-out duty is killed half-way
    Then 5 engines of the roll-out fleet hold "mittel@v1" at last
    And "tc-hall" is answered by "mittel@v1" at last
    And the weight store served "mittel@v1" 5 times
    And two fences gave the orders
    And no engine of the roll-out fleet obeyed a stale order
