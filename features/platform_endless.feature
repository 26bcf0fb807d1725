@quick
Feature: An upstream's bytes that lead to no answer end its connection

  Scenario Outline: Bytes without end in a head, or between the pieces of a body
    When an upstream sends <bytes> without end
    Then the exchange breaks off by itself before 16 MB have come

    Examples:
      | bytes                  |
      | a status line          |
      | interim answers        |
      | blank lines            |
      | headers                |
      | one header             |
      | a chunk's size         |
      | an extension of chunks |
      | trailers               |

  Scenario: A long answer in small chunks is no such thing
    When an upstream sends 3 MB in chunks of 1 byte
    Then all of its body has come
