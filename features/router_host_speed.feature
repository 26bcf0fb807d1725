@quick
Feature: Load reports state how long work takes on an upstream's host

  Scenario Outline: Reports with more or fewer figures
    When an answer reports the load "<text>"
    Then its load is <load>, its slowdown <slowdown> and it is counted as <count>

    Examples:
      | text              | load    | slowdown | count   |
      | 3,1,8             | 3,1,8   | 1        | valid   |
      | 3,1,8,250         | 3,1,8   | 2.5      | valid   |
      | 3, 1, 8, 87.5     | 3,1,8   | 0.875    | valid   |
      | 3,1,8,250,7,new   | 3,1,8   | 2.5      | valid   |
      | 3,1,8,0           | 3,1,8   | 1        | invalid |
      | 3,1,8,-20         | 3,1,8   | 1        | invalid |
      | 3,1,8,nan         | 3,1,8   | 1        | invalid |
      | 3,1,8,            | 3,1,8   | 1        | invalid |
      | 3,1,8,99999999    | 3,1,8   | 10       | valid   |
      | 3,1               | unknown | 1        | invalid |
      | 3,x,8,100         | unknown | 1        | invalid |
      | 3,1,9999999999,90 | unknown | 1        | invalid |

  Scenario: Callers of plain requests are served in time on uneven hosts
    Given 6 upstreams whose hosts change their speed every 600 ms
    When callers send 60 plain requests a second for 20 s
    Then more of them are in time than with a router that ignores the speed
    And they wait less than with a router that ignores the speed
    And they wait less than with a router that trusts each report

  Scenario: Reports without the figure change no decision
    Given 6 upstreams whose reports have three figures
    When callers send 60 plain requests a second without the figure
    Then each goes where a router that ignores the speed sends it

  Scenario: An old report says nothing
    Given a router that knows its configuration and 2 upstreams
    When an upstream here reported that its host is slow 5 s ago
    Then the next 20 plain requests are spread over both upstreams

  Scenario Outline: A slow host isn't evidence against the version that runs there
    Given a roll-out of "v2" to half of 2 upstreams
    When answers of "v2" take <took> s and report a slowdown of <slowdown>
    Then <slow> of them count as slow

    Examples:
      | took | slowdown | slow |
      | 0.3  | 5        | none |
      | 0.3  | 1        | all  |
      | 1.5  | 5        | all  |

  Scenario: The requests that an upstream holds are counted in bytes
    Given a router that knows its configuration and 1 upstreams
    When 3 callers send bodies of 1000 bytes
    Then the upstream holds at least 3000 bytes
    And it holds none after they are answered
