@quick
Feature: Sessions keep their version while their requests go to different entries

  Scenario Outline: Sessions that are alive when a roll-out begins
    When <sessions> sessions use <entries> entries in <data centres> data centres during a roll-out, with <lost> % of the heartbeats lost
    Then no session moves to the target in the first half
    And no session moves from the target back to the old version
    And some requests run on the target in the first half

    Examples:
      | entries | data centres | sessions | lost |
      | 2       | 1            | 60       | 0    |
      | 9       | 1            | 120      | 0    |
      | 27      | 1            | 120      | 0    |
      | 27      | 3            | 120      | 0    |
      | 9       | 1            | 120      | 5    |
      | 15      | 3            | 120      | 5    |

  Scenario Outline: A session keeps its version where upstreams of it aren't usable
    When 4 histories of a good roll-out are generated for <entries> entries, whose troubles are "<troubles>"
    Then no session moves to the target in the first half
    And no session moves from the target back to the old version
    And at least <least> % of the requests are served at the first try

    Examples:
      | entries | troubles        | least |
      | 3       | link            | 80    |
      | 3       | set aside       | 95    |
      | 3       | closed          | 70    |
      | 9       | link, set aside | 90    |
      | 27      | link, closed    | 90    |

  Scenario Outline: A session keeps its version while entries are restarted in turn
    When 4 histories of a good roll-out are generated for <entries> entries, whose troubles are "restarts"
    Then no session moves to the target in the first half
    And no session moves from the target back to the old version
    And at least 97 % of the requests are served at the first try

    Examples:
      | entries |
      | 3       |
      | 9       |
      | 27      |

  Scenario Outline: Sessions stay on a good target that is held until its roll-back is recorded
    When 4 histories of a good roll-out are generated for <entries> entries, whose troubles are "holds", with a store that takes <record> s
    Then no session moves from the target back to the old version
    And the roll-back is recorded within 1 s of the hold

    Examples:
      | entries | record |
      | 3       | 0.05   |
      | 9       | 0.6    |

  Scenario Outline: A bad target that is held gets no requests after the bound
    When 4 histories of a bad roll-out are generated for <entries> entries, with a store that takes <record> s
    Then no request runs on the target 5 s after it was held

    Examples:
      | entries | record |
      | 3       | 0.05   |
      | 9       | 30     |
