@quick
Feature: The HTTP client aborts exchanges whose bytes make no progress

  Scenario Outline: An endless head, chunk header or trailer is aborted
    When an upstream sends <bytes> without end
    Then the client aborts the exchange before it gets 16 MB

    Examples:
      | bytes             |
      | a status line     |
      | interim responses |
      | blank lines       |
      | headers           |
      | one header        |
      | a chunk size      |
      | a chunk extension |
      | trailers          |

  Scenario: A long answer in small chunks is received in full
    When an upstream sends 3 MB in chunks of 1 byte
    Then the client has received the whole body
