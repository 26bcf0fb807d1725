@quick
Feature: What an upstream breaks off or garbles isn't taken for its answer

  Scenario Outline: An answer to a long upload that is reset on the way is broken
    When an entry uploads 4 MB to an upstream that answers after <read> KB, without a length, and resets the connection after <wait> ms
    Then the exchange is broken

    Examples:
      | read | wait |
      | 0    | 0    |
      | 0    | 10   |
      | 100  | 0    |
      | 100  | 10   |

  Scenario Outline: A sidecar's upstream resets an answer without a length
    When a sidecar uploads <size> KB to a service that answers after <read> KB, without a length, and <ends> the connection after <wait> ms
    Then the call is <outcome>

    Examples:
      | size | read | ends   | wait | outcome  |
      | 4000 | 0    | resets | 10   | broken   |
      | 4000 | 100  | resets | 0    | broken   |
      | 1    | 0    | resets | 0    | broken   |
      | 1    | 0    | resets | 20   | broken   |
      | 1    | 0    | closes | 20   | complete |

  Scenario Outline: An answer with a status that doesn't exist is no answer
    When an upstream answers an entry with status <status>
    Then the answer isn't genuine
    When a service answers its sidecar with status <status>
    Then the call is broken

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |

  Scenario Outline: A 421 is the addressed upstream's own if it names itself
    When an upstream turns an entry away with 421, as "<name>"
    Then the answer is a refusal of <whom>

    Examples:
      | name    | whom            |
      | i       | the upstream    |
      | i-other | another process |
      |         | another process |
