@quick
Feature: The users' mixes in simulated time, each decision beside baselines

  Scenario: All arms get the same requests
    Then the requests of "platzwart" at load 2 are the same for the same seed
    And they come at about 100 a second, in the shares of the classes

  Scenario: A full batch and a long prompt slow all streams down
    Then a step of an engine takes longer with 30 streams than with 1
    And a step takes longer while a prompt of 12000 tokens is read

  Scenario: What is kept of a prompt isn't read again
    Given an engine has answered a prompt
    Then it reads only the own part of the next prompt of that session
    But it reads the whole prompt for another model

  Scenario: The least recently used prompt yields
    Then an engine that keeps 900 tokens forgets the first of three of 400

  Scenario: A model's confidence tells roughly whether its answer is poor
    Then of 2000 requests that the smallest model is unsure of 85 % are poor
    And of those that it is sure of at most 15 % are

  Scenario Outline: Stepping up is worth more than one size for all
    When "<mix>" is played at load 1 with 2 seeds
    Then the product is worth more than "largest_only" with each seed
    And the product is worth more than "smallest_only" with each seed

    Examples:
      | mix       |
      | platzwart |
      | tsukushi  |

  Scenario: Placement by work is worth more than by the last reports
    When "platzwart" is played at load 2 with 2 seeds
    Then the product is worth more than "by_report" with each seed

  Scenario: Entries that believe in stale reports of others' work do worse
    When "platzwart" is played at load 3 with 2 seeds
    Then the product is worth more than "with_reports" with each seed
    And the product is worth more than "by_count" with each seed

  Scenario: Many entries that tell of their work serve better
    When "fleet" is played at load 1 with 2 seeds
    Then the product's streams begin sooner than with "untold" with each seed
    And the product's streams begin sooner than with "heartbeats" with each seed
    And all entries together serve within 0.03 of what one entry would

  Scenario: An engine that crashes costs hardly an answer
    When "platzwart" is played while an engine crashes
    Then at least 98 % of the product's streams are whole

  Scenario: A run gives the same figures each time
    Then "tsukushi" gives the same figures twice

  Scenario: The experiment writes a report, a plot and a page
    When the experiment is run on a small case
    Then its page has a line for each arm, with the product's gain over it
    And its report and its plot are written

  Scenario: An arm that doesn't exist
    Then asking for the arm "magic" names the arms that there are
