Feature: The load tool offers what it says and counts right

  Scenario: One seed gives one open-loop schedule
    When the load tool plans 20 s at 50 calls a second with seed 7 twice
    Then both load schedules are the same
    And the load schedule of seed 8 differs
    And each load arrival lies within its phase
    And the load tool plans between 850 and 1150 calls

  Scenario: Arrivals don't wait for answers
    When the load tool offers calls at 0.00, 0.02 and 0.04 s that all take 0.3 s
    Then all 3 offered calls are open at the same time

  Scenario: Percentiles are those of the sorted values
    When 2000 seeded durations go into a latency histogram
    Then its percentiles lie within 0.2 % of the sorted durations'

  Scenario: A fitted line is the one that the points lie on
    When a line is fitted to points on y = 3 x + 2
    Then the fit's slope is 3, its base 2 and its r2 1

  Scenario: A request goes on as soon as its slice is granted
    Given a bench of an entry with 4 sidecars
    When a request waits for the first slice of its allowance
    And the bench delivers the grant, and the wake-up that the entry asks for
    Then the request is submitted to a sidecar
    And it waited at most 20 ms for its turn

  Scenario: A request that finds its slice used up is woken for its turn
    Given a bench of an entry with 4 sidecars
    When requests use the slice up until one isn't submitted at once
    And the bench delivers the grant, and the wake-up that the entry asks for
    Then that request is submitted to a sidecar
    And the entry asked to be woken within 20 ms

  Scenario: An entry's kept list of required entries follows each change
    Given a bench of an entry with 4 sidecars
    When 300 seeded changes of the host list and of entries' rows arrive
    Then the required entries were always those found anew
    And the required entries changed at least 20 times

  Scenario: A connection can't take a port that a fleet has chosen
    When a fleet's ports are chosen and 4000 connections are then opened
    Then each of the fleet's ports can still be listened on

  Scenario: Two test runs beside each other get different ports
    When two finders that begin at the same port find 150 ports each
    Then no port is found twice

  Scenario: Each entry of a small fleet gets a shard of the ledger
    When 300 fleets of three entries are planned
    Then each of their entries is the preferred owner of a shard
