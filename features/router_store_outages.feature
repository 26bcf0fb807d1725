@quick
Feature: Removals of upstreams around failed calls to the store

  # Guards against requests to upstreams that have left: a single failed call
  # made their removal look like a lapse in an outage.
  Scenario Outline: After a failed call that can't be an outage, a removal counts at once
    Given a router that knows its configuration and 3 upstreams
    When its calls to the store end like "<calls>"
    And upstream 0 is removed from the list
    Then none of the next 20 requests goes to upstream 0

    Examples:
      | calls                                                               |
      | list 0, list 2                                                      |
      | list 0, failure 0.4, list 0.7                                       |
      | list 0, configuration 1.0, failure 1.9, list 2.2                    |
      | list 0, failure 0.1, configuration 1.2, list 1.9                    |
      | list 0, failure 0.1, list 0.4, configuration 1.7, failure 2, list 3 |
      | list 0, failure 0.1, list 5, list 5.5                               |
      | list 0, configuration 1.2, cut 2.2, list 2.5                        |
      | list 0, cut 1, list 1.3, cut 2, list 2.3, cut 3, list 3.3           |

  Scenario Outline: After an outage in which registrations may lapse, it doesn't
    Given a router that knows its configuration and 3 upstreams
    When its calls to the store end like "<calls>"
    And upstream 0 is removed from the list
    Then some of the next 40 requests go to upstream 0

    Examples:
      | calls                                                       |
      | list 0, failure 0.1                                         |
      | list 0, failure 0.1, list 5                                 |
      | list 0, failure 0.1, list 5, list 5.3                       |
      | list 0, failure 0.1, configuration 5, list 5.9              |
      | list 0, failure 0.1, list 1.3, failure 1.8, list 2.9        |
      | list 0, failure 1.9, failure 2.3, configuration 2.5, list 3 |
      | list 0, cut 2.2, list 2.5                                   |
      | list 0, cut 2.2, failure 2.5, list 3                        |

  Scenario: A lapsed upstream is used until two seconds after the store's return
    Given a router that knows its configuration and 3 upstreams
    When its calls to the store end like "list 0, failure 0.1, list 5"
    And upstream 0 is removed from the list
    And 1.8 s pass
    Then some of the next 40 requests go to upstream 0
    When 0.4 s pass
    Then none of the next 20 requests goes to upstream 0

  Scenario: Each of several outages in a row prolongs it
    Given a router that knows its configuration and 3 upstreams
    When its calls to the store end like "list 0, failure 0.1, list 5"
    And upstream 0 is removed from the list
    And its calls to the store end like "failure 0.8, list 3"
    And 1.8 s pass
    Then some of the next 40 requests go to upstream 0
    When 0.4 s pass
    Then none of the next 20 requests goes to upstream 0

  Scenario: A failed call later doesn't
    Given a router that knows its configuration and 3 upstreams
    When its calls to the store end like "list 0, failure 0.1, list 5"
    And upstream 0 is removed from the list
    And its calls to the store end like "configuration 1.0, list 1.4, failure 1.5, list 1.8"
    And 0.4 s pass
    Then none of the next 20 requests goes to upstream 0

  Scenario: A lapsed upstream that is renewed stays in use
    Given a router that knows its configuration and 3 upstreams
    When its calls to the store end like "list 0, failure 0.1, list 5"
    And upstream 0 is removed from the list
    And 1.5 s pass
    And upstream 0 is listed again
    And 3 s pass
    Then some of the next 40 requests go to upstream 0

  Scenario Outline: A reader passes on only outages in which registrations may lapse
    Given a router that knows its configuration and 3 upstreams
    And a reader whose calls to the store end like "<calls>"
    When the reader sends that upstream 0 was removed
    Then <count> of the next 40 requests <go> to upstream 0

    Examples:
      | calls                         | count | go   |
      | list 0, failure 0.4, list 0.7 | none  | goes |
      | list 0, failure 0.1, list 5   | some  | go   |

  Scenario: A removal just after the store has cut a watch counts at once
    Given an entry that watches a store with 3 upstreams
    When the store cuts the watches, and upstream 2 leaves 0.02 s later
    Then the entry no longer uses upstream 2 within 1 s

  Scenario: A removal between two cuts counts at once
    Given an entry that watches a store with 3 upstreams
    When the store cuts the watches 4 times, and upstream 2 leaves meanwhile
    Then the entry no longer uses upstream 2 within 1 s

  Scenario: A registration that lapses while the store is away counts as in doubt
    Given an entry that watches a store with 3 upstreams
    When the store is away for 2.2 s, and upstream 2 lapses
    Then the entry still uses upstream 2 after 0.5 s
