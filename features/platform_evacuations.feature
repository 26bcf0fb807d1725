Feature: Entries leave an evacuated data centre, over real sockets

  Scenario: An evacuation reaches readers and the entries that they inform
    Given 2 entries that follow evacuations, and bookings in "west-a" and "west-b"
    When the store lists "west-a" as evacuated
    Then within 5 s both entries log "evacuation_begun" for "west-a"
    And 20 requests at each entry run in "west-b" only
    When the store is restored from a copy from before the evacuation
    Then for 1.5 s requests at both entries run in "west-b" only
    When the store lists "west-a" as evacuated
    And the store resets connections for entry 1
    And the store lists "west-b" as evacuated
    Then within 5 s both entries log "evacuation_begun" for "west-b"
    And a booking at each entry is refused with Retry-After
    And the metrics of each entry say that 2 data centres are evacuated
    When the store no longer lists "west-a" as evacuated
    Then within 5 s both entries log "evacuation_ended" for "west-a"
    And 20 requests at each entry run in "west-a" only
