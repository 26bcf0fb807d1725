@quick
Feature: A new configuration reaches entries that can't read it from the store

  Scenario Outline: Entries that the store turns away learn of each version in time
    Then in <count> histories in which the store turns a third of <entries> entries away all data stays within its age limits

    Examples:
      | entries | count |
      | 3       | 10    |
      | 9       | 10    |

  Scenario: A reader sends its copy to entries whose configuration is older
    Given a reader of version 5 with a copy of it
    When an entry with version 4 requests an update
    Then the update has the copy
    When the reader's list of upstreams changes
    Then the update has no copy
    When an entry with version 5 requests an update
    Then the update has no copy
    When an entry of a release without copies requests an update
    Then the update has no copy

  Scenario: A copy is decoded in place of a read
    Given an entry that another one informs
    When a reader's update has version 5 with a copy
    Then it decodes the copy, and doesn't read the configuration
    When the copy is decoded
    Then version 5 is active, confirmed when the reader read it

  Scenario: A copy that can't be decoded is replaced by a read
    Given an entry that another one informs
    When a reader's update has version 5 with a copy
    And the copy is rejected
    Then it reads the configuration, and the log names the reader

  Scenario: An update without a copy is followed by a read
    Given an entry that another one informs
    When a reader's update has version 5 without a copy
    Then it reads the configuration

  Scenario Outline: An outdated entry refuses requests that others can serve
    Given an entry that another one informs
    When readers report version 5 without a copy for <reported> s
    And a caller asks "<route>"
    Then <outcome>

    Examples:
      | reported | route  | outcome                               |
      | 1.5      | look   | the request has been sent 1 times     |
      | 1.5      | open   | the request has been sent 1 times     |
      | 2.5      | look   | the caller has a 503 with Retry-After |
      | 2.5      | open   | the caller has a 503 with Retry-After |
      | 2.5      | nosuch | the caller has a 503 with Retry-After |

  Scenario: A version that no reader reports any more refuses nobody
    Given an entry that another one informs
    When readers report version 5 without a copy for 2.5 s
    Then the router isn't ready
    When 1.5 s pass
    And a caller asks "open"
    Then the request has been sent 1 times

  Scenario Outline: A 401 or 404 needs a proof within the bound on configurations
    Given a router that knows its configuration and 3 upstreams
    When <age> s pass without a read of the configuration
    And a caller with key "<key>" asks "<route>"
    Then <outcome>

    Examples:
      | age | key           | route  | outcome                                  |
      | 1.8 | key-unknown   | look   | the caller has a 401 without Retry-After |
      | 1.8 | key-innsbruck | nosuch | the caller has a 404 without Retry-After |
      | 2.2 | key-unknown   | look   | the caller has a 503 with Retry-After    |
      | 2.2 | key-innsbruck | nosuch | the caller has a 503 with Retry-After    |
      | 2.2 | key-innsbruck | look   | the request has been sent 1 times        |

  Scenario: A copy has the whole configuration, and a tenth of its size
    Given a reader's configuration of 2800 routes
    When another entry decodes its copy
    Then both have the same configuration, and the copy a tenth of its bytes
    And the event loop was never blocked for more than 19 ms of CPU time

  Scenario Outline: A damaged copy is rejected
    Given a reader's configuration of 50 routes
    When another entry decodes its copy, <damage>
    Then the copy is rejected

    Examples:
      | damage             |
      | cut off            |
      | overwritten        |
      | of another version |
