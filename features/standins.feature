Feature: The stand-ins keep the contracts that other code leans on

  Background:
    Given a bundle of stand-ins

  Scenario: Of racing conditional updates of one object only one succeeds
    Given the object API holds "table/x" as "first"
    When 20 clients race to update "table/x" from the version they all read
    Then 1 of the updates succeeded and 19 met a conflict
    And each conflict told the winner's value and version

  Scenario: Of racing creations of one object only one succeeds
    When 20 clients race to create "table/y"
    Then 1 of the updates succeeded and 19 met a conflict

  Scenario: An object's version is never used again
    Given the object API holds "table/z" as "first"
    When the object "table/z" is deleted and created again
    Then its version is above the one it had
    And an update from its first version meets a conflict

  Scenario: A write whose reply is lost took effect
    Given the object API has the faults {"lose_replies": 1.0}
    When a client creates "claim/1" with "mine" and its reply is lost
    And the faults of the object API are cleared
    Then the object "claim/1" reads "mine"

  Scenario: A slow write takes effect though its caller has left
    Given the object API has the faults {"delay_s": 0.3}
    When a client sends a write of "claim/2" and leaves
    Then the object API comes to hold 1 objects

  Scenario: A waiting watch wakes at a change and counts as one call
    When a client watches "rows/" and then "rows/1" is written
    Then the watch answers "rows/1" at the store's revision
    And the object API counted 1 watches

  Scenario: A watch reports a deletion without a value
    Given the object API holds "rows/2" as "old"
    When the object "rows/2" is deleted
    Then a watch of "rows/" from revision 1 answers "rows/2" as deleted

  Scenario: A watch with gaps moves on without the change
    Given the object API has the faults {"watch_drop": 1.0}
    When a client watches "rows/" and then "rows/1" is written
    Then the watch answers no objects at the store's revision

  Scenario: The object API refuses what it should
    Then a value of 1000000 bytes is taken and one of 1000001 bytes is not
    And a burst of 300 writes is throttled in part, by the count told
    And with the faults {"deny_clients": ["cut"]} client "cut" gets 503 alone
    And with the faults {"down": true} client "free" gets 503

  Scenario: A stream resumed on another engine goes on identically
    When engine 1 streams a whole answer
    Then engine 2, resumed at each of its tokens, streams exactly the rest
    And an engine of another process streams the same tokens
    And the whole answer without a stream is the same text
    And the last chunk tells the finish reason and the usage
    And a limit of 2 tokens cuts the answer to its first 2

  Scenario: Another version gives another answer
    When engine 1 streams a whole answer
    Then version 2 gives another answer to the same messages

  Scenario: A crash closes the neighbours' streams
    Given engine 1 has the faults {"crash_on": "poison"}
    And 3 clients read long streams from engine 1
    And a client waits for a whole answer from engine 1
    When a request that holds "poison" is sent to engine 1
    Then all 5 callers are left without the end of their answers
    And engine 1 counted 1 crashes and refuses work
    And engine 1 serves again after its restart

  Scenario: A caller that leaves frees its slot
    Given 1 clients read long streams from engine 1
    When the client of the stream leaves
    Then engine 1 counts 1 cancelled and nothing running

  Scenario: Many callers that leave at once don't stop the others
    Given 30 clients read long streams from engine 1
    When 29 of the clients reset their connections
    Then engine 1 counts 29 cancelled and goes on with the others

  Scenario: A connection that just closed doesn't stop its neighbours
    When a batch steps over a closed and an open connection
    Then the open one gets its token

  Scenario: Waiting requests run by priority and then by arrival
    Given engine 3, with one slot, is busy with a long stream
    When requests with the priorities 2, 1, 0, 1 arrive at engine 3 in turn
    Then they start in the order of the places 3, 2, 4, 1

  Scenario: A hanging engine sends nothing and later goes on
    Given 1 clients read long streams from engine 1
    When engine 1 hangs
    Then no token comes until the hang is over

  Scenario: Old fencing numbers are refused only by an engine that checks
    When both engines are ordered to unload "m@2" with fences 5 and then 4
    Then engine 1, which checks, refused the second order
    And engine 2, which doesn't, obeyed it and counted it as stale

  Scenario: Loading asks the weight store and passes its refusal on
    When engine 1 is ordered to load two more versions, one above the rate
    Then the first is loaded and the second gets 503 with Retry-After

  Scenario: A prefix is cached by a run, exported and imported
    When engine 1 streams a whole answer
    Then the same prompt is cached on engine 1 and not on engine 2
    And after export and import it is cached on engine 2
    And the cache events of engine 2 list its blocks

  Scenario: Cache events come with gaps
    When engine 3, which drops half of its cache events, streams an answer
    Then the sequence numbers of its cache events have gaps

  Scenario: The load is reported with a lag
    Given engine 3, with one slot, is busy with a long stream
    And 1 clients read long streams from engine 1
    Then engine 1, without a lag, reports 1 running
    And engine 3, with a long lag, reports 0 running and its age

  Scenario: A service runs so many calls at once and lets others wait
    Given the service has the faults {"slow_factor": 300.0}
    When 11 bookings are sent to the service at once
    Then 8 bookings run while 3 wait, and all 11 are answered

  Scenario: A service runs a call each time it comes
    When the booking with key "k1" is sent 3 times
    Then each of the bookings was answered 200
    And the service counted 3 runs of key "k1"

  Scenario: A service that dies after a run has run
    Given the service has the faults {"die_after_run": true}
    When the booking with key "k2" is sent and gets no answer
    Then the service counted 1 runs of key "k2"

  Scenario: A service that answers 500 has not run
    Given the service has the faults {"error_rate": 1.0}
    When the booking with key "k3" is sent 1 times
    Then each of the bookings was answered 500
    And the service counted 0 runs of key "k3"

  Scenario: Ratings repeat for a request and gather around the quality
    Then the rating of one request is the same each time
    And 300 ratings of "m@1" have a mean near 0.8
    And 300 ratings of answers with a loss of 0.3 have a mean near 0.5

  Scenario: The host list lags behind
    Given the host list has the faults {"lag_s": 60.0}
    When the host "new" is registered
    Then the host list shows "new" only once it lags no more

  Scenario: An unknown fault is refused and SIGTERM ends the bundle cleanly
    Then the fault {"no_such_fault": 1} is refused everywhere
    And the bundle holds no io_uring and ends cleanly on SIGTERM

  Scenario: A single stand-in can be served alone
    Then a host list served alone says ready and ends cleanly on SIGTERM
