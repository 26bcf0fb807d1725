Feature: The settings of an entry select its policies

  Scenario: An entry uses the model-aware policies by default
    When entry settings without policies are checked
    Then the placement policy of the entry is ExpectedWaitPlacement
    And the cascade policy of the entry is LearningCascade

  Scenario Outline: A setting selects a policy
    When entry settings with <field> "<name>" are checked
    Then the <field> policy of the entry is <policy>

    Examples:
      | field     | name                | policy                     |
      | placement | round_robin         | RoundRobinPlacement        |
      | placement | random              | RandomPlacement            |
      | placement | least_own_in_flight | LeastOwnInFlightPlacement  |
      | placement | least_reported_load | LeastReportedLoadPlacement |
      | cascade   | always_strong       | AlwaysStrong               |
      | cascade   | always_cheap        | AlwaysCheap                |

  Scenario: The fault for an unknown policy lists the valid names
    When entry settings with cascade "oracle" are checked
    Then the only settings fault is in the field "cascade"
    And the remedy of the fault is "Write one of model_aware, always_strong, always_cheap."
