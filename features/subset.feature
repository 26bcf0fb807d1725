Feature: Each entry talks to a balanced, stable subset of the upstreams

  Scenario: Few upstreams are all in every subset
    Given 5 subset entries and 8 subset upstreams
    Then every entry's subset holds 8 upstreams

  Scenario: The target size is balanced
    Given 370 subset entries and 600 subset upstreams
    Then every entry's subset holds 12 upstreams
    And each upstream is in 2 to 8 subsets
    And naive random subsets range from 0 to 17
    And the subsets span the own data centre and others
    And the subsets do not depend on the members' order
    And at most 4 pairs are ordered for each one that is taken

  Scenario: One host that goes moves few places
    Given 370 subset entries and 600 subset upstreams
    Then a lost upstream moves at most 40 other subset places
    And a lost entry moves at most 60 other subset places

  Scenario: Versions on the same upstreams share one assignment
    Given 40 subset entries and 30 subset upstreams
    Then 7 versions on all of them take 1 assignment and have one subset
    And an upstream that leaves one of them takes 1 assignment more

  Scenario: The fast matching equals a plain one
    Then random subsets equal the naive matching
