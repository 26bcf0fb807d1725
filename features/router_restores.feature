@quick
Feature: No change is missed when the store is restored from a copy

  The restored store has lost its latest changes. It gives their revisions out
  again, and the operators and upstreams write what was lost once more.

  Scenario Outline: A new version is activated whatever revision it gets
    Given a router that knows version 4, at revision 90 of era 1
    When version 5, at revision <revision> of era 2, is read
    Then version 5 is active

    Examples:
      | revision |
      | 12       |
      | 90       |
      | 91       |

  Scenario Outline: A follower passes on a new version with a known revision
    Given an entry that follows a store with version 4 at revision 2
    When the store is restored from a copy with version 3
    And the operators write version <version>
    Then the follower passes on version <version>

    Examples:
      | version |
      | 4       |
      | 5       |

  Scenario: A first restore is noticed if answers named no era before
    Given an entry that follows a store with version 4 at revision 2
    And the store names no era before its first restore
    When the store is restored from a copy with version 3
    And the operators write version 5
    Then the follower passes on version 5
    And the restore is noticed

  Scenario: A copy's older version isn't activated
    Given a router that knows version 4, at revision 90 of era 1
    When version 3, at revision 70 of era 2, is read
    And version 4, at revision 72 of era 2, is read
    Then version 4 is active
    And version 3 has never been active since

  Scenario: A late answer of an earlier era isn't activated
    Given a router that knows version 4, at revision 90 of era 1
    When version 5, at revision 12 of era 2, is read
    And version 4, at revision 95 of era 1, is read
    Then version 5 is active

  Scenario: A copy proves no freshness until lost changes are written again
    Given a router that knows version 4, at revision 90 of era 1
    When the store is away for 1 s, and comes back in era 2
    And version 4, at revision 90 of era 2, is read for 1.9 s
    Then the proof of freshness is at least 2.9 s old
    When version 4, at revision 90 of era 2, is read for 0.5 s
    Then the proof of freshness is at most 0.2 s old

  Scenario: An entry that starts after a restore learns what the copy lacks
    Given a router that knows version 3, at revision 70 of era 2
    When a peer that has known version 4 for 5 s sends a heartbeat
    And a caller asks "look"
    Then the caller has a 503 with Retry-After
    When version 4, at revision 72 of era 2, is read
    And a caller asks "look"
    Then the request has been sent 1 times

  Scenario: An entry that starts after a restore learns when that was
    Given a router that knows version 4, at revision 90 of era 2
    When a peer that noticed era 2 0.5 s ago sends a heartbeat
    And a caller asks "look"
    Then the caller has a 503 with Retry-After

  Scenario: A restore of long ago voids no proof
    Given a router that knows version 4, at revision 90 of era 2
    When a peer that noticed era 2 9 s ago sends a heartbeat
    And a caller asks "look"
    Then the request has been sent 1 times

  Scenario Outline: An entry that starts trusts no copy that may be new
    Given a router that starts and reads version 4, at revision 90 of era <era>
    When 1 s pass
    And a caller asks "look"
    Then <outcome>

    Examples:
      | era | outcome                               |
      | 2   | the caller has a 503 with Retry-After |
      | 0   | the request has been sent 1 times     |

  Scenario: An entry that starts alone waits until lost changes are written again
    Given a router that starts and reads version 4, at revision 90 of era 2
    When version 4, at revision 90 of era 2, is read for 2.5 s
    And a caller asks "look"
    Then the request has been sent 1 times
    And era 2 is registered as settled 1 times

  Scenario Outline: Another entry tells one that starts how old the era is
    Given a router that starts and reads version 4, at revision 90 of era 2
    When <news>
    And 1 s pass
    And a caller asks "look"
    Then <outcome>

    Examples:
      | news                                                    | outcome                               |
      | a peer that has seen era 2 for 9 s sends a heartbeat    | the request has been sent 1 times     |
      | a peer that has seen era 2 for 0.5 s sends a heartbeat  | the caller has a 503 with Retry-After |
      | a peer that has seen era 1 for 9 s sends a heartbeat    | the caller has a 503 with Retry-After |

  Scenario Outline: A registration that survived all entries tells it as well
    Given a router that starts and reads version 4, at revision 90 of era 2
    When a registration that has era <era> as settled is <place>
    And version 4, at revision 90 of era 2, is read
    And 1 s pass
    And a caller asks "look"
    Then <outcome>

    Examples:
      | era | place   | outcome                               |
      | 2   | listed  | the request has been sent 1 times     |
      | 2   | changed | the request has been sent 1 times     |
      | 1   | listed  | the caller has a 503 with Retry-After |

  Scenario: A request is held until the era is known to have settled
    Given a router that starts and reads version 4, at revision 90 of era 2
    When a caller asks "look"
    Then the caller has no answer yet
    When a peer that has seen era 2 for 9 s sends a heartbeat
    And 0.1 s pass
    Then the request has been sent 1 times

  Scenario: A peer that is first to read a new version voids no proof
    Given a router that knows version 3, at revision 70 of era 2
    When a peer that has known version 4 for 0 s sends a heartbeat
    And a caller asks "look"
    Then the request has been sent 1 times

  Scenario: Data stays within its age limits in histories with restores
    Then in 25 histories with restores all data stays within its age limits

  Scenario: A watch doesn't go on from a revision of the lost history
    Given an entry that watches a store with 3 upstreams
    When the store is restored from a copy without upstream 2
    And upstreams 3, 4 and 5 register
    Then the entry knows the store's upstreams within 2.5 s

  Scenario: An upstream whose registration was lost is kept until it's repeated
    Given a router that has listed upstreams 0 to 2 in era 1
    When the list of era 2 has upstreams 0 to 1
    Then upstream 2 accepts requests
    When 1.5 s pass
    And upstream 2 is registered
    And 2 s pass
    Then upstream 2 accepts requests

  Scenario: An upstream that isn't registered again is dropped
    Given a router that has listed upstreams 0 to 2 in era 1
    When the list of era 2 has upstreams 0 to 1
    And 2.5 s pass
    Then upstream 2 is unknown

  Scenario: An upstream that was leaving isn't ready again in the copy
    Given a router that has listed upstreams 0 to 2 in era 1
    When upstream 2 is listed as leaving
    And the list of era 2 has upstreams 0 to 2
    Then upstream 2 accepts no requests

  Scenario: An upstream that was gone isn't back until it registers
    Given a router that has listed upstreams 0 to 2 in era 1
    When upstream 2 is removed from the list
    And the list of era 2 has upstreams 0 to 2
    And 3 s pass
    Then upstream 2 accepts no requests
    When upstream 2 is registered with 32 slots
    Then upstream 2 accepts requests

  Scenario: An upstream that the store keeps for longer than a lease is back
    Given a router that has listed upstreams 0 to 2 in era 1
    When upstream 2 is removed from the list
    And the list of era 2 has upstreams 0 to 2
    And 6 s pass
    Then upstream 2 accepts no requests
    When the list of era 2 is still complete
    Then upstream 2 accepts requests

  Scenario: The outcome of a roll-out is recorded at its restored revision
    Given a router with a rejected target whose order has revision 90 of era 1
    When the list of era 2 has the order at revision 50, as "running"
    And 3 s pass
    Then the outcome "rolled_back" is recorded at revision 50

  Scenario Outline: A rejected target stays so when its order is lost
    Given a router with a rejected target whose order has revision 90 of era 1
    When the list of era 2 has no order
    And <pause> s pass
    And the order is written at revision 60 of era 2, as "ordered"
    Then the target is <state>

    Examples:
      | pause | state    |
      | 1.5   | rejected |
      | 4.0   | on trial |

  Scenario: An order that the copy has instead isn't carried out
    Given a router with a rejected target whose order has revision 90 of era 1
    When the list of era 2 has an earlier order for version "v1"
    And 1.5 s pass
    And the order is written at revision 60 of era 2, as "ordered"
    Then the target is rejected

  Scenario: A completed roll-out that the copy has as running is completed again
    Given a router with a completed roll-out at revision 90 of era 1
    When the list of era 2 has the order at revision 50, as "running"
    And 3 s pass
    Then all requests go to the target
    And the outcome "completed" is recorded at revision 50

  Scenario: An outcome isn't recorded at a revision of an earlier era
    Given a router with a roll-out whose order has revision 90 of era 1
    When the store names era 2
    And the target is rejected
    And 3 s pass
    Then no outcome is recorded

  Scenario: An update from a reader of an older release begins no era
    Given a router that has just started
    When a reader that knows no era sends an update
    And the store names era 1
    Then no restore of the store is noticed
