@fleet.platzwart
Feature: A request goes from a caller to an upstream and back

  Scenario: A whole chat answer
    When "tc-hall" asks entry 0 "Is court 2 free?" for class "chat"
    Then the answer's status is 200
    And the answer is a whole completion with counted tokens
    And the answer names the version that served it

  Scenario: A streamed chat answer has every chunk once and in order
    When "tc-hall" streams from entry 1 "Is court 3 free?" for class "chat"
    Then the answer's status is 200
    And the streamed text is the text of the whole answer

  Scenario: A booking runs once at the service
    When "tc-hall" books at entry 2 with key "first-booking"
    Then the answer's status is 200
    And the services have run key "first-booking" 1 time

  Scenario: A well-known client completes and streams unchanged
    When the well-known client asks entry 0 as "tc-imst"
    Then it gets the same text whole and streamed

  Scenario Outline: Bad input gets a clear error that says nothing ran
    When a caller sends entry 0 <what>
    Then the answer's status is <status>
    And the error's code is "<code>" and its run state "not_run"

    Examples:
      | what                       | status | code                 |
      | no organisation            | 400    | bad_request          |
      | an unknown organisation    | 403    | unknown_organisation |
      | a body that is not JSON    | 400    | bad_request          |
      | messages of the wrong type | 400    | bad_request          |
      | empty messages             | 400    | bad_request          |
      | a body over a megabyte     | 413    | body_too_large       |
      | a deadline of "soon"       | 400    | bad_request          |
      | a model it may not use     | 403    | model_not_allowed    |
      | a booking without a key    | 400    | bad_request          |

  Scenario: A huge header is refused by the server
    When a caller sends entry 0 a huge header
    Then the answer's status is 400

  Scenario: A caller that hangs up frees its place at the upstream
    When a caller hangs up on entry 0 in the middle of a long answer
    Then no upstream runs anything after a while

  Scenario: No process opens an io_uring descriptor
    Then no entry and no sidecar has an io_uring descriptor
