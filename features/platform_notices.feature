@platform
Feature: Runners that shut down or want nothing, over real sockets

  Scenario: A runner that wants nothing for a time is asked again after it
    When a runner that is asked for "/book/1" does "close"
    Then it got none of the next 20 requests
    And after 1.6 s it gets some of 20 requests

  Scenario Outline: A runner that says it shuts down gets nothing more
    When a runner that is asked for "<path>" does "leave"
    Then it got none of the next 20 requests

    Examples:
      | path       |
      | /look/1    |
      | /chat/easy |
