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

  Scenario: A runner gets no more from two entries than the limit that it names
    Given 2 entries on the platform
    When runner "b-0" names a limit of "1" and callers send 30 requests a second for 9 s
    Then every request is served
    And the runner gets at most 11 requests in any 4 s from 4 s on
