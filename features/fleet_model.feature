Feature: The reducers keep their promises, driven with events alone

  A fleet in memory: two entries, two engines' sidecars and a service's, a
  dictionary as the store, and a queue that loses, repeats and reorders.

  Scenario: Interleavings of requests, edits, losses and outages
    When 100 interleavings of 25 steps are tried on the fleet in memory
    Then each answer, run, refusal, session and bill was as in the naive model
    And the interleavings answered chats and bookings, and met each fault

  Scenario: A submit that is repeated to a restarted sidecar runs nothing
    Given a booking that the sidecar in memory has run
    When that sidecar restarts and the submit comes again
    Then the sidecar in memory says that it doesn't know the attempt

  Scenario: A submit that is repeated after its end runs nothing
    Given a booking that the sidecar in memory has run
    When the submit comes again after the end
    Then the sidecar in memory repeats the end and runs nothing

  Scenario: A repeat that is answered from the record names its request
    Given a booking that the sidecar in memory has run
    When a caller repeats the booking
    Then its answer is the recorded one, and names the request

  Scenario: Chats right after the death of their allowance's owner
    Given the fleet in memory has run for a while
    When the owner of the chats' allowances dies, and 60 chats come at once
    Then all of them run

  Scenario: Recorded events replay to the same effects
    When the fleet in memory runs with faults and records its events
    Then each process's events replay to the same effects in a fresh reducer

  Scenario: No socket, clock or thread is needed
    When the fleet in memory runs while sockets, clocks and threads are barred
    Then it has answered requests

  Scenario: Events that real processes record replay to the same effects
    When a real fleet serves each class of work and records its events
    Then each process's log holds what it was asked, and who answered
    And each log replays to the recorded effects with hash seeds 1, 2 and 3

  Scenario: A replay by reducers that decide otherwise is noticed
    When the fleet in memory runs with faults and records its events
    Then a replay where entries choose other versions differs for an entry
    And a replay where gates refuse all differs for a sidecar
