@quick
Feature: An evacuated data centre gets no new requests

  Background:
    Given a router that follows evacuations, with upstreams 0 and 1 in "west-a" and 2 in "west-b"

  Scenario Outline: First attempts avoid it until the evacuation is taken back
    When "west-a" is evacuated
    Then 20 requests for "<route>" go to data centre "west-b"
    When the evacuation of "west-a" is taken back
    Then 20 requests for "<route>" go to data centre "west-a"
    And the end of the evacuation of "west-a" is known
    And the log tells that evacuations of "west-a" began and ended

    Examples:
      | route |
      | look  |
      | book  |
      | chat  |
      | note  |

  Scenario Outline: Later attempts of an open request avoid it
    When a caller asks "<route>"
    And "west-a" is evacuated
    And then its upstream <outcome>
    Then its attempts went to data centres "west-a, west-b"

    Examples:
      | route | outcome                           |
      | look  | drops the connection              |
      | look  | refuses the request as overloaded |
      | book  | is unreachable                    |
      | chat  | breaks its stream after event 3   |
      | chat  | answers with little confidence    |

  Scenario: Open work ends where it is
    When a caller asks "note"
    And the upstream begins a stream with events 1 to 3
    And "west-a" is evacuated
    And the upstream sends events 4 to 6 and ends the stream
    Then the caller has events 1 to 6, and the stream has ended
    And its attempts went to data centres "west-a"

  Scenario: Two evacuations overlap
    When "west-a" is evacuated
    And "west-b" is evacuated
    And a caller asks "book"
    Then the caller has a 503 with Retry-After
    And the request has been sent 0 times
    And Retry-After is between 0.2 and 0.8 s, and the log names "west-a,west-b"
    When the evacuation of "west-b" is taken back
    Then 5 requests for "book" go to data centre "west-b"
    And the metrics show that "west-a" has been evacuated and "west-b" no longer
    When the evacuation of "west-a" is taken back
    Then 5 requests for "book" go to data centre "west-a"

  Scenario: A closed upstream in an evacuated data centre promises no return
    When every upstream of "west-a" is closed for 4 s
    And "west-a" is evacuated
    And "west-b" is evacuated
    And a caller asks "book"
    Then Retry-After is between 0.2 and 0.8 s, and the log names "west-a,west-b"

  Scenario: It stays in force while the store can't be read
    When "west-a" is evacuated
    And reads of the evacuations fail for 20 s
    Then 5 requests for "look" go to data centre "west-b"
    When a list at revision 90 of era 1 has no evacuations
    Then 5 requests for "look" go to data centre "west-a"

  Scenario: A list that was overtaken ends nothing
    When a list at revision 90 of era 1 evacuates "west-a"
    And a list at revision 80 of era 1 has no evacuations
    Then 5 requests for "look" go to data centre "west-b"

  Scenario Outline: A restored store lacks it
    When a list at revision 90 of era 1 evacuates "west-a"
    And a list at revision 70 of era 2 has no evacuations
    And <wait> s pass
    And the watch is complete at revision <revision> of era 2
    Then 5 requests for "look" go to data centre "<used>"

    Examples:
      | wait | revision | used   |
      | 1.8  | 75       | west-b |
      | 2.1  | 75       | west-a |
      | 2.1  | 70       | west-a |

  Scenario: A restored store has it again, until the removal is repeated
    When a list at revision 70 of era 1 evacuates "west-a"
    And the evacuation of "west-a" is taken back
    And a list at revision 70 of era 2 evacuates "west-a"
    Then 5 requests for "look" go to data centre "west-b"
    When the evacuation of "west-a" is taken back
    Then 5 requests for "look" go to data centre "west-a"

  Scenario Outline: Requests sent while a restored store lacks an evacuation
    When 20 requests/s run under the "<policy>" policy while a copy lacks an evacuation for 1.5 s
    Then <sent> of them go to the evacuated data centre

    Examples:
      | policy      | sent |
      | Evacuations | 0    |
      | LatestList  | 30   |

  Scenario: A roll-out's target runs only in the evacuated data centre
    When "west-b" is evacuated
    And a roll-out to the version of upstream 2 is ordered, for 20 s
    And 60 s of requests for "look" pass
    Then all of them ran on upstreams 0 and 1
    And the roll-out isn't recorded as completed

  Scenario: The target's data centre is evacuated as the target gets all requests
    When a roll-out to the version of upstream 2 is ordered, for 20 s
    And the target gets all requests, and "west-b" is evacuated
    And 10 s of requests for "look" pass
    Then all of them ran on upstreams 0 and 1
    And the roll-out isn't recorded as completed
    When the evacuation of "west-b" is taken back
    Then 20 requests for "look" go to data centre "west-b"
    And the roll-out is recorded as completed

  Scenario: An entry isn't ready before it has read the evacuations
    Given a router that follows evacuations and has read all else
    Then the router isn't ready
    When a list at revision 90 of era 1 evacuates "west-a"
    Then the router is ready

  Scenario: An entry that knows none yet is told by a reader
    Given a router that follows evacuations and has read all else
    When a reader tells that "west-a" has been evacuated for 3 s
    Then the router is ready
    And 5 requests for "look" go to data centre "west-b"
    When a reader's older news says that nothing is evacuated
    Then 5 requests for "look" go to data centre "west-b"
    When a reader tells that nothing is evacuated
    Then 5 requests for "look" go to data centre "west-a"

  Scenario: Without the setting nothing changes
    Then without the setting, the same requests have the same effects whatever is evacuated
    And without the setting, the kind isn't read
    And a bound of 0 is refused, and none isn't

  Scenario: An evacuation that ends just after a restore isn't believed in for longer than the bound
    Then in history 51 with 6 entries and restores no evacuation is unknown after its bound

  Scenario: Readers' updates keep a fleet within the bound, also through faults and restores
    Then in 20 histories with 6 entries no evacuation is unknown after its bound
