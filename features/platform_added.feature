Feature: The tool tells what an entry on the platform adds to a first event

  Scenario: Pairs of chats, straight and through an entry
    When the tool times 30 pairs of chats
    Then its report has ordered percentiles of each way and of the difference
    And the way through the entry takes longer than the straight one
