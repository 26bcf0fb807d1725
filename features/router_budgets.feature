@quick
Feature: The retry budget while entries start and end

  Entries share the budget without exchanging their counts, and a process that
  ends loses its counts. So the budget holds only as long as no entry is
  replaced more than once in a window.

  Scenario: Generated histories of entries that start, end and use up their budgets
    Then in 400 generated histories all entries together stay within the budget

  Scenario: All entries use up their budgets, end and are replaced
    Then 5 entries that are replaced at once stay within the budget

  Scenario: Half of the entries end, the others use up their budgets, and the half returns
    Then 10 entries of which half is down for 2 s stay within the budget

  Scenario: An entry without heartbeats keeps the last number of entries
    Then each of 8 entries still has 1/8 of the budget after 60 s without heartbeats

  Scenario: Retries count until a whole window has passed
    Then an entry that uses up its budget twice within 9.7 s stays within the budget
