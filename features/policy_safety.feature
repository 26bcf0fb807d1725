Feature: Exposure, crash suspects and roll-out keep harm small

  Scenario: Sequential test agrees with a plain product over every value
    Then the sequential test matches the naive test on 100 random streams

  Scenario: Sequential test rarely accuses an equal version, however often read
    Then the sequential test accuses at most 4 of 200 equal versions

  Scenario: Sequential test is not drowned by a long history
    Given a sequential test with 50000 incumbent values of mean 0.9
    Then the sequential test rules out a margin of 0.2 after 100 new values

  Scenario: Change detector notices a fall and lets an unchanged version be
    Then the change detector stays calm for 3000 batches and sees a fall

  Scenario: Exposure starts small and grows with evidence only
    Given an exposure judge
    When the exposure judge sees 3 batches of ratings about 0.9
    Then the exposure share is 1 per cent
    When the exposure judge sees 200 batches of ratings about 0.9
    Then the exposure share is 100 per cent

  Scenario: Exposure holds a version whose answers are worse
    Given an exposure judge
    When the exposure judge sees 30 batches of ratings about 0.7
    Then the exposure is held for "rating"

  Scenario: Exposure holds a version that fails more often
    Given an exposure judge
    When the exposure judge sees 40 batches with 30 per cent errors
    Then the exposure is held for "errors"

  Scenario: Exposure holds a version that answers more slowly
    Given an exposure judge
    When the exposure judge sees 40 batches with 40 per cent slow answers
    Then the exposure is held for "slow"

  Scenario: Exposure holds a version that turns bad after its roll-out
    Given an exposure judge
    When the exposure judge sees 1500 batches of ratings about 0.9
    And the exposure judge sees 30 batches of ratings about 0.7
    Then the exposure is held for "rating_changed"

  Scenario: Exposure stays held whatever comes later
    Given an exposure judge
    When the exposure judge sees 30 batches of ratings about 0.7
    And the exposure judge sees 200 batches of ratings about 0.95
    Then the exposure is held for "rating"

  Scenario: Exposure resumed from a kept state judges the same
    Then the exposure judge resumed at any of 60 batches ends the same

  Scenario: Exposure gives every entry the same sessions, and keeps them
    Then exposure assigns 10000 hashes alike, near each share and never back

  Scenario: Fingerprints are the same for a caller's repeats
    Then these bodies share a fingerprint
      | one                             | other                              |
      | {"a":1,"b":[2]}                 | { "b": [2], "a": 1 }               |
      | {"a":1,"stream":true}           | {"a":1,"stream":false}             |
    And these bodies differ in fingerprint
      | one                             | other                              |
      | {"a":1}                         | {"a":2}                            |
      | {"a":[1,2]}                     | {"a":[2,1]}                        |

  Scenario: A crashing request takes down two upstreams and is refused
    Given a crash tracker
    When "bad" and "good" run on "u1" and it crashes
    Then the crash tracker calls "bad" "suspect"
    And the crash tracker denies "bad" a start in company on "u2"
    When "bad" reruns alone on "u2" and it crashes
    Then the crash tracker calls "bad" "convicted"
    When "good" reruns alone on "u3" and ends
    Then the crash tracker calls "good" "clear"

  Scenario: A suspect reruns alone at most once
    Given a crash tracker
    When "bad" and "good" run on "u1" and it crashes
    And "bad" starts alone on "u2"
    Then the crash tracker denies "bad" a second lone start on "u3"
    And the crash tracker denies "other" a start in company on "u2"

  Scenario: Crash suspects lose at most two upstreams under any interleaving
    Then at most 2 upstreams crash for each bad request in 300 random runs

  Scenario: Crash suspects are kept within bounds
    Then the crash tracker keeps 50 suspects after 500 crashes

  Scenario: Roll-out loads a new version before it unloads the old one
    Given a roll-out fleet of 4 upstreams with 2 places that serve "m@1"
    When the roll-out wants 4 holders of "m@2" and none of "m@1"
    Then the roll-out orders 2 loads and 0 unloads at first
    And the roll-out ends with 4 holders of "m@2" and 0 of "m@1"

  Scenario: Roll-out keeps the last holder of a version with sessions
    Given a roll-out fleet of 3 upstreams with 2 places that serve "m@1"
    And the roll-out fleet has sessions on "m@1"
    When the roll-out wants 3 holders of "m@2" and none of "m@1"
    Then the roll-out ends with 3 holders of "m@2" and 1 of "m@1"

  Scenario: Roll-out gives no unload before the fence is confirmed
    Given a roll-out fleet of 4 upstreams with 2 places that serve "m@1"
    When the roll-out owner is replaced before its fence is confirmed
    Then the roll-out announces its fence to 4 upstreams and unloads nothing

  Scenario: Roll-out counts its own orders that no report shows yet
    Given a roll-out fleet of 5 upstreams with 2 places that serve "m@1"
    When the roll-out wants none of "m@1" and a floor of 3
    Then the roll-out orders 0 loads and 2 unloads at first
    And the roll-out gives no more unloads when sessions move before a report

  Scenario: Roll-out says what it cannot do without losing capacity
    Given a roll-out fleet of 2 upstreams with 1 places that serve "m@1"
    When the roll-out wants 2 holders of "m@2" and none of "m@1"
    Then the roll-out reports "m@2" as blocked

  Scenario: Roll-out wants holders by share, and one for what drains
    Then the roll-out of a model on 10 upstreams wants these holders
      | version | share    | holders |
      | m@1     | 95       | 10      |
      | m@2     | 5        | 1       |
      | m@3     | 20       | 2       |
      | m@4     | draining | 1       |

  Scenario: Roll-out never drops below capacity under random failures
    Then roll-out orders keep capacity in 150 random runs and reach the goal

  Scenario: A suspect whose first loss nobody noted is convicted by the second
    Given an entry's suspects know one crash of fingerprint 7
    When the request with fingerprint 7 has cost two upstreams
    Then the entry's suspects call fingerprint 7 convicted
    And a late notice of suspicion does not clear fingerprint 7

  Scenario: Notices of suspects may come in any order, late and twice
    Then entries agree on suspects after 200 random orders of notices
