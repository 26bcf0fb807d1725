@quick
Feature: Unexpected failures are logged and never block

  Scenario: Background work is restarted after a failure
    Given work that fails 2 times and then returns
    When a shell restarts it after failures
    Then it has been started 3 times
    And each failure is logged

  Scenario Outline: A stop doesn't hang on work that ignores a cancellation
    Given work that reacts to its first cancellation with <what>
    When a shell that restarts it cancels it
    Then it has ended within 2 s, and the log names it

    Examples:
      | what                |
      | nothing             |
      | an unexpected error |

  Scenario Outline: An exchange fails with an unexpected error
    When an attempt fails in the HTTP client with <error>
    Then the router is told that the attempt broke off, and why

    Examples:
      | error        |
      | RuntimeError |
      | ValueError   |

  Scenario Outline: The store answers with an unexpected status
    Given a store that answers every call with status <status>
    Then a read of the configuration ends with "unknown"

    Examples:
      | status |
      | 299    |
      | 418    |
      | 599    |

  Scenario: The object API answers with an unexpected status
    Given a store that answers every call with status 599
    Then a read of an object ends with "unavailable"

  Scenario: A peer message whose handler fails
    When a frame carries three messages and the first one's handler fails
    Then the other two are handled, and the failure is logged
