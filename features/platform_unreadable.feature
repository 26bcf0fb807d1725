@quick
Feature: An object that can't be read hides no other objects of the store

  Another writer may store what no decoder accepts. Such an object names no
  upstream, and the others hold.

  Scenario Outline: The list and each change of the others are still read
    Given a store whose objects can't be read because of <cause>
    When an entry lists the upstreams, and a watch reports changes
    Then it knows the upstreams beside the unreadable one after each of them
    And the upstream that became unreadable is gone

    Examples:
      | cause               |
      | unpaired surrogates |
      | deep nesting        |
      | invalid escapes     |
      | invalid numbers     |
      | invalid UTF-8       |
      | unreadable names    |
      | huge numbers        |
      | a long port         |
      | duplicate keys      |

  Scenario Outline: A response that can't be delimited is a failed call
    Given a store whose list ends <place>
    When an entry lists the upstreams
    Then the list counts as a failed call

    Examples:
      | place                  |
      | inside a text          |
      | before its last bracket |
      | with the wrong bracket |

  Scenario: A page that doesn't name its objects isn't the end of the list
    Given a store whose first page has unreadable names only
    When an entry lists the upstreams
    Then the list counts as a failed call

  Scenario: A configuration that is nested too deeply is a failed call
    Given an entry that has read a configuration of 3 routes
    When it reads a configuration that is nested too deeply
    Then the previous configuration stays active
