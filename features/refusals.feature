Feature: A refusal states its cause and that the request has not run

  Scenario Outline: A request names a version that it cannot use
    Given the fleet in memory, where "kurz@v1" is <state>
    When a caller requests version "<wanted>"
    Then the request is refused with "<code>" and has not run
    And the remedy of the refusal is "<remedy>"

    Examples:
      | state     | wanted  | code              | remedy                           |
      | withdrawn | kurz@v1 | version_withdrawn | Use a version that is offered.   |
      | draining  | kurz@v1 | version_withdrawn | Use a version that is offered.   |
      | withdrawn | kurz@v9 | model_not_allowed | Ask the operators to change the table. |
      | withdrawn | kurz@   | model_not_allowed | Ask the operators to change the table. |

  Scenario: A new session requests a withdrawn version
    Given the fleet in memory, where "kurz@v1" is withdrawn
    When a new session requests version "kurz@v1"
    Then the request is refused with "version_withdrawn" and has not run

  Scenario: No owner of an allowance is reachable
    Given the fleet in memory, where each allowance is 100 requests a minute
    And all requests for allowance slices are lost
    When 20 callers request version "kurz@v1" at the same time
    Then each is refused with "allowance_unavailable" within 6 s and has not run
    And the refusals have at least 3 different Retry-After values
    And a later request is refused with "allowance_unavailable" immediately

  Scenario: The owner of an allowance is reachable again
    Given the fleet in memory, where each allowance is 100 requests a minute
    And all requests for allowance slices are lost
    When 1 callers request version "kurz@v1" at the same time
    And requests for allowance slices are delivered again
    Then the fleet in memory answers the next request
