@quick
Feature: The end of a graceful stop cuts off no request

  Scenario: A connection that rests is closed before a request begins on it
    Given callers with a kept connection and a new one, and one whose body is on its way
    When the entry takes no more requests and ends 0.2 s later
    And each caller sends a request's head after 0.1 s, and its body after 0.15 s more
    Then no caller's request is cut off after it began
    And the request whose body was on its way is answered
