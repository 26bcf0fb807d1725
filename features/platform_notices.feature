@platform
Feature: Notices from runners that shut down or accept no requests, over real sockets

  Scenario: A runner that accepts no requests for a time gets requests again afterwards
    When a runner answers a request for "/book/1" with fault "close"
    Then it receives none of the next 20 requests
    And after 1.6 s it receives some of 20 requests

  Scenario Outline: A runner that announces its shutdown gets no more requests
    When a runner answers a request for "<path>" with fault "leave"
    Then it receives none of the next 20 requests

    Examples:
      | path       |
      | /look/1    |
      | /chat/easy |
