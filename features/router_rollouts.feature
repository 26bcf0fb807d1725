@quick
Feature: New versions are rolled out gradually, and sessions keep their version

  Scenario: A version without an order gets no requests
    Given a router that knows its configuration and 3 upstreams
    When upstreams of version "v2" are listed
    Then none of 50 requests goes to version "v2"

  Scenario: A small share of sessions is routed to the target in the first half
    Given a router with a roll-out to version "v2" over 20 s
    Then between 1 and 40 of 200 requests go to version "v2"
    And another entry routes the same sessions to it

  Scenario: A session keeps its version in the first half
    Given a router with a roll-out to version "v2" over 20 s
    When a session has run on version "v1"
    Then its next request within 5 s runs on version "v1"

  Scenario: A session keeps its version on each service that it uses
    Given a router with a roll-out to version "v2" over 20 s
    When a session has run on version "v1"
    And it has run on version "v2" of another service
    Then its next request within 5 s runs on version "v1"

  Scenario: A good target gets all requests, and completion is recorded
    Given a router with a roll-out to version "v2" over 20 s
    When requests succeed for 18 s
    Then all of 50 requests go to version "v2"
    And the roll-out is recorded as "completed"

  Scenario: Removing the service's models in the second half doesn't change the plan
    Given a router with a roll-out to version "v2" over 20 s
    When requests succeed for 18 s
    And the service has no models
    And requests succeed for 1 s
    Then all of 50 requests go to version "v2"

  Scenario: Completion waits for open requests on the old version
    Given a router with a roll-out to version "v2" over 20 s
    When requests succeed for 9 s
    And a stream begins on version "v1"
    And requests succeed for 8 s
    Then the roll-out isn't recorded as "completed"
    When that stream ends
    And requests succeed for 1 s
    Then the roll-out is recorded as "completed"

  Scenario: Completion waits for every live entry
    Given a router with a roll-out to version "v2" over 20 s
    And a peer that still routes requests to version "v1"
    When requests succeed for 18 s
    Then the roll-out isn't recorded as "completed"

  Scenario: A finished roll-out adds no counts to heartbeats
    Given a router with a roll-out to version "v2" over 20 s
    And a peer that still routes requests to version "v1"
    When requests succeed for 2 s
    Then its last heartbeat contains the roll-out's counts
    When the roll-out to "v2" is completed
    And requests succeed for 1 s
    Then its last heartbeat contains the roll-out without counts

  Scenario: A bad target is held and rolled back
    Given a router with a roll-out to version "v2" over 20 s
    When a third of the target's answers fail for 10 s
    Then none of 50 requests goes to version "v2"
    And the roll-out is recorded as "rolled_back"

  Scenario: A target that is bad on a single route is held
    Given a router with a roll-out to version "v2" over 20 s
    When half of the target's answers on one route fail for 20 s
    Then none of 50 requests goes to version "v2"

  Scenario: A slow target is held
    Given a router with a roll-out to version "v2" over 20 s
    When the target takes 8 times as long as the old version for 10 s
    Then none of 50 requests goes to version "v2"

  Scenario Outline: A target of a plain service that is slower by a fraction of a second
    Given a router with a roll-out to version "v2" over 20 s
    And the service has no models
    When <share> of 10 bookings on the target take <slow> s and all others 0.03 s, for 14 s
    Then version "v2" <outcome>

    Examples:
      | share | slow | outcome      |
      | 5     | 0.24 | is held      |
      | 4     | 0.16 | is held      |
      | 5     | 0.06 | isn't held   |
      | 0     | 0.24 | isn't held   |

  Scenario: A second order in the record of the first starts a new trial
    Given a router with a roll-out to version "v2" over 20 s
    When the roll-out to "v2" is completed
    And an order for version "v3" is written into the same record
    Then some but less than half of 100 requests go to version "v3"
    And the roll-out isn't recorded as "completed"

  Scenario: A target that a peer holds is held here too
    Given a router with a roll-out to version "v2" over 20 s
    And a peer that holds version "v2"
    When requests succeed for 1 s
    Then none of 50 requests goes to version "v2"

  Scenario: A hold doesn't outlast the completion of the roll-out
    Given a router with a roll-out to version "v2" over 20 s
    When a third of the target's answers fail for 10 s
    Then none of 50 requests goes to version "v2"
    When the roll-out to "v2" is completed
    Then all of 50 requests go to version "v2"

  Scenario: A peer's hold isn't taken over after the completion
    Given a router with a roll-out to version "v2" over 20 s
    When the roll-out to "v2" is completed
    And a peer holds version "v2"
    And requests succeed for 1 s
    Then all of 50 requests go to version "v2"

  Scenario: Only one entry records states, and another takes over when it dies
    Given a router with a roll-out to version "v2" over 20 s
    And a live peer whose name sorts first
    When requests succeed for 2 s
    Then no state is recorded
    When that peer sends no heartbeats for 4 s
    And requests succeed for 1 s
    Then the roll-out is recorded as "running"

  Scenario: Connections that break with their host don't count against a version
    Given a router with a roll-out to version "v2" over 20 s
    When the connections of 20 requests on version "v2" break
    Then version "v2" isn't held

  Scenario Outline: Slow versions and load, over generated roll-outs
    Then of 300 generated roll-outs with shares <slow> slow and <drag> dragging before, and <new slow> and <new drag> after, <held> are held within <answers> answers

    Examples: Good versions: light load, load, and a plain service
      | slow | drag | new slow | new drag | held        | answers |
      | 0.02 | 0.15 | 0.02     | 0.15     | at most 1 % | 60      |
      | 0.05 | 0.20 | 0.05     | 0.20     | at most 1 % | 60      |
      | 0.29 | 0.25 | 0.29     | 0.25     | at most 2 % | 60      |
      | 0.09 | unknown | 0.09     | unknown     | at most 2 % | 60      |

    Examples: Slow versions: measured on a loaded service and on a plain one
      | slow | drag | new slow | new drag | held          | answers |
      | 0.29 | 0.13 | 0.47     | 0.80     | at least 95 % | 40      |
      | 0.07 | 0.14 | 0.25     | 0.85     | at least 95 % | 40      |
      | 0.08 | unknown | 0.40     | unknown     | at least 95 % | 60      |

  Scenario Outline: Bad versions of a plain service with few requests
    When 200 roll-outs of a plain service are generated with shares <failed> failed, <slow> slow and <drag> dragging before, and <new failed>, <new slow> and <new drag> after
    Then at most <most> % of them expose more requests than agreed

    Examples: Failures; some slow requests; some slow requests during crashes
      | failed | slow | drag | new failed | new slow | new drag | most |
      | 0.07   | 0.02 | 0.02 | 0.45       | 0.02     | 0.02     | 1    |
      | 0.07   | 0.02 | 0.02 | 0.07       | 0.20     | 0.20     | 10   |
      | 0.15   | 0.11 | 0.03 | 0.15       | 0.25     | 0.25     | 6    |

  Scenario Outline: Good versions of a plain service with few requests
    When 200 roll-outs of a plain service are generated with shares <failed> failed, <slow> slow and <drag> dragging before, and <failed>, <slow> and <drag> after
    Then in at least <least> % of them the target gets all requests within 0.85 of the duration

    Examples: Few failures; usual failures; during crashes
      | failed | slow | drag | least |
      | 0.02   | 0.02 | 0.02 | 99    |
      | 0.14   | 0.02 | 0.02 | 90    |
      | 0.15   | 0.11 | 0.03 | 86    |

  Scenario Outline: A target with all requests is held only on clear evidence
    Given a trial over 20 s whose target gets all requests from 13 s on
    When the target has <slow> slow of 96 answers and <drag> dragging of 81, and the incumbent 65 of 326 and 4 of 311
    Then at 16 s the target is <outcome>

    Examples:
      | slow | drag | outcome  |
      | 30   | 19   | not held |
      | 20   | 8    | not held |
      | 60   | 19   | held     |
      | 30   | 50   | held     |

  Scenario Outline: A lightly loaded target beside incumbents under a burst of load
    Given a router whose streams have had an event every 0.03 s from lightly loaded engines
    When a roll-out to version "v2" over 15 s is ordered
    And for 14 s streams have an event every <target> s on a lightly loaded target, and every <others> s on a busy incumbent
    Then version "v2" <outcome>

    Examples:
      | target | others | outcome    |
      | 0.1    | 0.1    | is held    |
      | 0.1    | 0.3    | is held    |
      | 0.03   | 0.1    | isn't held |
      | 0.03   | 0.03   | isn't held |

  Scenario: A target that stops answering gets no larger share
    Given a router whose streams have had an event every 0.03 s from lightly loaded engines
    When a roll-out to version "v2" over 15 s is ordered
    And for 8 s streams have an event every 0.03 s on a lightly loaded target, and every 0.03 s on a busy incumbent
    And for 4 s streams have an event every 9 s on a lightly loaded target, and every 0.03 s on a busy incumbent
    Then version "v2" doesn't get all requests

  Scenario: Usual times aren't learnt from the version on trial
    Given a router with a roll-out to version "v2" over 20 s
    When the target takes 8 times as long as the old version for 3 s
    Then the usual times are those of version "v1"

  Scenario Outline: False alarms and misses over generated roll-outs
    Then of 300 generated roll-outs with failure rates <base> before and <target> after, <held> are held within <answers> answers

    Examples:
      | base | target | held          | answers |
      | 0.00 | 0.00   | at most 1 %   | 60      |
      | 0.02 | 0.02   | at most 2 %   | 60      |
      | 0.14 | 0.14   | at most 2 %   | 60      |
      | 0.60 | 0.60   | at most 2 %   | 60      |
      | 0.85 | 0.85   | at most 2 %   | 60      |
      | 0.02 | 0.31   | at least 90 % | 60      |
      | 0.02 | 0.55   | at least 99 % | 60      |
      | 0.14 | 0.55   | at least 95 % | 60      |
