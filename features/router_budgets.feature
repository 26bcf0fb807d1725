@quick
Feature: The budget for additional sends when entries come and go

  A budget without a store call or message can only hold while processes that
  end take their counts along no more than once in a window.

  Scenario: Histories of entries that start, end and spend what they may
    Then in 400 generated histories all entries together keep the budget

  Scenario: All entries end after they have spent everything, and come back
    Then 5 entries that are replaced at once keep the budget

  Scenario: Half of the entries end, the others spend, and the half comes back
    Then 10 entries of which half is away for 2 s keep the budget

  Scenario: An entry that hears nothing of others for long keeps their number
    Then a budget of 8 entries that hears of none for 60 s shares by 8

  Scenario: What was spent counts until the whole window has passed
    Then an entry that spends all twice within 9.7 s keeps the budget
