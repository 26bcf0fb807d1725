Feature: An entry knows which processes live

  Scenario: Heartbeats make upstreams candidates
    Given a small fleet whose members know each other
    Then the candidates of a-1 are a-s1, a-s2, b-s1
    And every entry that runs sees these live entries: a-1, a-2, a-3, b-1, b-2

  Scenario: An upstream that leaves gets nothing new at once
    Given a small fleet whose members know each other
    When sidecar a-s2 says that it leaves
    And the members run for 0.25 s
    Then the candidates of a-1 are a-s1, b-s1
    And the candidates of b-2 are a-s1, b-s1
    And b-1 knows that a-s2 leaves

  Scenario: The platform's list can announce a leave
    Given a small fleet whose members know each other
    When the platform's list says that b-s1 leaves
    Then the candidates of a-1 are a-s1, a-s2

  Scenario: A higher incarnation outlives the list's word
    Given a small fleet whose members know each other
    When the platform's list says that b-s1 leaves
    And member b-s1 restarts
    And the members run for 3 s
    Then the candidates of a-1 are a-s1, a-s2, b-s1

  Scenario: An unhealthy upstream is no candidate
    Given a small fleet whose members know each other
    When sidecar a-s1 reports its upstream unhealthy
    And the members run for 1.5 s
    Then the candidates of a-1 are a-s2, b-s1

  Scenario: A crashed upstream goes after three missed heartbeats
    Given a small fleet whose members know each other
    When member a-s1 crashes
    And the members run for 1 s
    Then the candidates of a-1 are a-s1, a-s2, b-s1
    When the members run for 4 s
    Then the candidates of a-1 are a-s2, b-s1
    When member a-s1 restarts
    And the members run for 2 s
    Then the candidates of a-1 are a-s1, a-s2, b-s1

  Scenario: An observed failure counts at once, until the next answer
    Given a small fleet whose members know each other
    When entry a-1 fails to reach a-s1
    Then the candidates of a-1 are a-s2, b-s1
    And the candidates of a-2 are a-s1, a-s2, b-s1
    When the members run for 2 s
    Then the candidates of a-1 are a-s1, a-s2, b-s1

  Scenario: A crashed entry is soon known everywhere
    Given a small fleet whose members know each other
    When member a-3 crashes
    And the members run for 6 s
    Then every entry that runs sees these live entries: a-1, a-2, b-1, b-2
    When member a-3 restarts
    And the members run for 4 s
    Then every entry that runs sees these live entries: a-1, a-2, a-3, b-1, b-2

  Scenario: An entry that leaves says so
    Given a small fleet whose members know each other
    When entry b-2 says that it leaves
    And the members run for 1 s
    Then every entry that runs sees these live entries: a-1, a-2, a-3, b-1

  Scenario: News spreads in few hops at the target size
    Then news reaches all 370 entries in 6 hops

  Scenario: Control traffic at the target size
    Then a node's control traffic at the target size stays in its budget

  Scenario: Random crashes, restarts and losses
    Then random crashes and losses never offer a leaving upstream
