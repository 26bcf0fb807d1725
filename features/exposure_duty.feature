Feature: A version in roll-out takes more work only as evidence allows

  Background:
    Given the exposure table has "kurz@v1" "ok" and "kurz@v2" "stage:1"

  Scenario: A good version moves on stage by stage to the whole share
    When the exposure judge hears 4000 answers of "kurz@v1" rated 0.90
    And the exposure judge hears 4000 answers of "kurz@v2" rated 0.90
    Then the exposure judge sets "kurz@v2" to "ok" at last

  Scenario: A bad version is held, and told to entries before the table shows it
    When the exposure judge hears 400 answers of "kurz@v1" rated 0.90
    And the exposure judge hears 400 answers of "kurz@v2" rated 0.50
    Then the exposure judge sets "kurz@v2" to "held" at last
    And the exposure judge holds "kurz@v2"

  Scenario: Repeated and late totals count once
    When the exposure judge hears 40 answers of "kurz@v2" rated 0.50
    And the exposure judge hears the same report 20 more times
    Then the exposure judge has counted 40 rated answers of "kurz@v2"

  Scenario: A judge that takes over goes on from the table's stage
    Given the exposure table shows "kurz@v2" at "stage:20"
    When another exposure judge takes over and hears the totals
    Then it starts "kurz@v2" at 20 per cent

  Scenario: A settled version that turns bad later is held
    Given the exposure table shows "kurz@v2" at "ok"
    When the exposure judge hears 600 answers of "kurz@v2" rated 0.90
    And the exposure judge hears 400 more answers of "kurz@v2" rated 0.50
    Then the exposure judge sets "kurz@v2" to "held" at last

  Scenario: The only version of the only model is not taken away
    Given the exposure table offers only "kurz@v2" with "ok"
    When the exposure judge hears 600 answers of "kurz@v2" rated 0.90
    And the exposure judge hears 400 more answers of "kurz@v2" rated 0.50
    Then the exposure judge changes nothing and names "kurz@v2" a suspect

  Scenario: A version that an operator adds beside another starts at stage 1
    When an operator adds "kurz@v3" to the exposure table
    Then the exposure table shows "kurz@v3" with status "stage:1"

  Scenario Outline: A version in roll-out takes its share once it is loaded
    When an entry plans 400 tags while upstreams have loaded "<loaded>"
    Then <some> of those tags are planned on "kurz@v2"

    Examples:
      | loaded          | some |
      | kurz@v1         | none |
      | kurz@v1 kurz@v2 | some |

  Scenario: A chat for any model is not planned on a plain service
    Then a chat is not planned on "kurz@v1" once it is a plain service's

  Scenario Outline: A wait for a place at a full upstream is no slowness of the version
    Given a bench of an entry with 4 sidecars
    When a request waits for the first slice of its allowance
    And the bench delivers the grant, and the wake-up that the entry asks for
    And its first event comes after 2.0 s, of which it waited <waited> s for a place
    Then the entry has counted <slow> slow answers

    Examples:
      | waited | slow |
      | 1.9    | 0    |
      | 0.1    | 1    |

  Scenario: A sidecar tells how long a request waited for a place
    Given an order sidecar with a running request on "kurz@v1"
    When the engine of the order sidecar has no second place
    And the order sidecar gets another request on "kurz@v1"
    And the running request of the order sidecar ends
    And the other request of the order sidecar ends
    Then the order sidecar has told that the other request waited 1.0 s
