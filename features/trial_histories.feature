Feature: Roll-outs on upstreams whose answers depend on their load

  # Each row plays its seeds from 0 on. More seeds and other sizes by hand:
  # -D trial_seeds=100 -D trial_entries=9
  Scenario Outline: Bad versions are stopped within the bound on exposure
    When roll-outs of a service of <answers> are played whose target is bad <kind>
    Then each is rolled back within the bound on exposure

    Examples:
      | answers  | kind       |
      | streams  | at once    |
      | streams  | late       |
      | streams  | under load |
      | streams  | one route  |
      | streams  | slow       |
      | bookings | at once    |
      | bookings | late       |
      | bookings | under load |
      | bookings | one route  |
      | bookings | slow       |

  Scenario Outline: Good versions are completed in time
    When roll-outs of a service of <answers> are played whose target is good
    Then each is completed, and none is held

    Examples:
      | answers  |
      | streams  |
      | bookings |
