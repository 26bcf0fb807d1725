@quick
Feature: What fails unexpectedly is logged, and nothing waits for it for ever

  Scenario: Work that others rely on
    Given work that fails 2 times and then returns
    When a shell keeps it running
    Then it has been begun 3 times
    And each failure is in the log

  Scenario Outline: A stop doesn't wait for ever for work that loses a cancellation
    Given work that answers its first cancellation with <what>
    When a shell that keeps it running breaks it off
    Then it has ended within 2 s, and the log names it

    Examples:
      | what               |
      | nothing            |
      | an unforeseen error |

  Scenario Outline: An exchange fails with an error that nobody foresaw
    When the HTTP client fails an attempt with <error>
    Then the router hears that the attempt broke off, and why

    Examples:
      | error        |
      | RuntimeError |
      | ValueError   |

  Scenario Outline: The store answers with a status that nobody foresaw
    Given a store that answers every call with status <status>
    Then a read of the configuration ends with "unknown"

    Examples:
      | status |
      | 299    |
      | 418    |
      | 599    |

  Scenario: The object API answers with a status that nobody foresaw
    Given a store that answers every call with status 599
    Then a read of an object ends with "unavailable"

  Scenario: A message of another process that a part fails on
    When three messages come in one frame and the first fails
    Then the other two are taken, and the failure is in the log
