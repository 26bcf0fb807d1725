Feature: Real processes hold a version that turns out bad

  Scenario: A bad new version is held, and nothing new runs on it
    Given a fleet of its own whose engines also serve "kurz@v2", rated 0.35
    When an operator adds "kurz@v2" for "tc-innsbruck" through the command line
    And callers of "tc-innsbruck" ask for model "kurz" until "kurz@v2" is held
    Then fewer than 5 per cent of those requests ran on "kurz@v2"
    And after that 300 more requests run none on "kurz@v2"
