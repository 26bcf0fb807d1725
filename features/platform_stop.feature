@quick
Feature: The end of a graceful stop aborts no request

  Scenario: Idle connections are closed before a new request starts on them
    Given callers with an idle connection, a new connection and an unfinished request body
    When the entry stops accepting requests and exits 0.2 s later
    And each caller sends a request's head after 0.1 s, and its body after 0.15 s more
    Then no request that started is aborted
    And the request with the unfinished body is answered

  Scenario: Callers that send or wait are counted, idle ones aren't
    Given callers with an idle connection, a new connection and an unfinished request body
    Then 1 connection counts as busy
