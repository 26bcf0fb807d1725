@quick
Feature: Connections that hold the most for the longest give way first

  Scenario Outline: Ordinary callers beside a crowd of <crowd>
    Given an entry on a host with 128 MB and 600 descriptors
    When 1000 <crowd> come within 10 s, and ordinary callers beside them
    Then what is held stays within the limits
    And no ordinary caller has given way
    But with the naive policy, ordinary callers give way

    Examples:
      | crowd              |
      | unfinished uploads |
      | idle connections   |
      | unread answers     |

  Scenario: Requests that run don't give way, and large ones leave room
    Given an entry on a host with 128 MB and 600 descriptors
    When requests of 4194304 bytes arrive until one may not run
    Then at least 1 of them runs, and a small request may run beside them
    And none of those that run gives way to 1000 unfinished uploads
    And the entry can still take connections

  Scenario: Requests that run leave descriptors to others
    Given an entry on a host with 128 MB and 600 descriptors
    When requests of 0 bytes arrive until one may not run
    Then connections and requests that run use at most 400 descriptors

  Scenario: An entry full of running requests takes no connection
    Given an entry on a host with 128 MB and 600 descriptors
    When as many requests run as connections are allowed
    Then the entry can't take connections

  Scenario: Without limits nobody gives way
    Given an entry without limits
    When 1000 unfinished uploads come within 10 s, and ordinary callers beside them
    Then nobody has given way

  Scenario Outline: Only a head without end counts as too large
    When a caller sends <first>, and 68000 bytes more after <turns> turns
    Then the connection is <state>

    Examples:
      | first          | turns | state  |
      | a head         | 0     | open   |
      | a head         | 1     | open   |
      | a head         | 2     | open   |
      | a head         | 3     | open   |
      | half of a head | 0     | closed |
      | half of a head | 3     | closed |

  Scenario: A request sent ahead whose body comes later is answered
    When a second request of 100000 bytes begins while the first is served
    Then both are answered, whenever the rest of the body comes
