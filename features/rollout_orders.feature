Feature: The table alone says which engine holds which version

  Every round checks that no more loads run at once than the weight store
  serves, that no engine drops a version with work on it, and that each model
  keeps the holders that it had, up to those that it is meant to have.

  Scenario: A new version is loaded, grows, and takes the old one's place
    Given 5 order engines with 4 places that hold "kurz@v1"
    And an order table with "kurz@v1" as "ok"
    When the order table offers "kurz@v2" as "stage:1"
    And the order rounds settle
    Then 1 order engine holds "kurz@v2" and 5 hold "kurz@v1"
    When the order table offers "kurz@v2" as "stage:50"
    And the order rounds settle
    Then 3 order engines hold "kurz@v2" and 3 hold "kurz@v1"
    When the order table offers "kurz@v2" as "ok"
    And the order table makes "kurz@v1" draining
    And the order rounds settle
    Then 5 order engines hold "kurz@v2" and 1 holds "kurz@v1"
    When the order table makes "kurz@v1" withdrawn
    And the order rounds settle
    Then 5 order engines hold "kurz@v2" and 0 hold "kurz@v1"

  Scenario: Engines with two places swap a version without losing capacity
    Given 4 order engines with 2 places that hold "kurz@v1"
    And an order table with "kurz@v1" as "ok"
    When the order table offers "kurz@v2" as "ok"
    And the order table makes "kurz@v1" draining
    And the order rounds settle
    Then 4 order engines hold "kurz@v2" and 1 holds "kurz@v1"

  Scenario: Loads stay within what the weight store serves
    Given 40 order engines with 4 places that hold nothing
    And an order table with "kurz@v1" as "ok"
    When the order rounds settle
    Then 40 order engines hold "kurz@v1" and 0 hold "kurz@v2"
    And at most 4 order loads ran at once

  Scenario: Loads stay within that when rows come late and the table goes on
    Given 20 order engines with 4 places that hold "kurz@v1"
    And an order table with "kurz@v1" as "ok"
    And the order owner sees some rows up to 2 rounds late
    When the order table offers "kurz@v2" as "ok"
    And 1 order round passes
    And the order table offers "lang@v1" as "ok"
    And the order rounds settle
    Then 10 order engines hold "kurz@v2" and 20 hold "lang@v1"
    And no order engine was asked twice for the same

  Scenario: Two models leave each other room to swap
    Given 4 order engines with 2 places that hold nothing
    And an order table with "kurz@v1" as "ok"
    And an order table with "lang@v1" as "ok"
    When the order rounds settle
    Then 2 order engines hold "kurz@v1" and 2 hold "lang@v1"
    When the order table offers "kurz@v2" as "ok"
    And the order table makes "kurz@v1" draining
    And the order rounds settle
    Then 2 order engines hold "kurz@v2" and 1 holds "kurz@v1"

  Scenario Outline: The next owner goes on from what is
    Given 12 order engines with 4 places that hold "kurz@v1"
    And an order table with "kurz@v1" as "ok"
    When the order table offers "kurz@v2" as "ok"
    And the order table makes "kurz@v1" draining
    And <rounds> order rounds pass
    And the order owner dies and the next has a higher fence
    And the order rounds settle
    Then 12 order engines hold "kurz@v2" and 1 holds "kurz@v1"
    And no order engine was asked twice for the same

    Examples:
      | rounds |
      | 1      |
      | 4      |
      | 9      |

  Scenario: A paused former owner's orders are refused
    Given 5 order engines with 4 places that hold "kurz@v1"
    And an order table with "kurz@v1" as "ok"
    When the order rounds settle
    And the order owner is paused with its orders on the way
    And the order rounds settle
    And the paused owner's orders arrive
    Then 5 order engines hold "kurz@v1" and 0 hold "kurz@v9"
    And the order sidecars refused 10 orders as stale

  Scenario: A former owner's unload that still waits lapses
    Given 1 order engine with 4 places that hold "kurz@v1"
    And an order table with "kurz@v1" as "ok"
    When the order rounds settle
    And order engine "e0" has work on "kurz@v1"
    And the order owner is paused with its orders on the way
    And the paused owner's orders arrive
    And 2 order rounds pass
    And order engine "e0" has no more work
    And the order rounds settle
    Then order engine "e0" is asked to load "kurz@v9"
    And 1 order engine holds "kurz@v1" and 1 holds "kurz@v9"

  Scenario: A sidecar takes no order after its restart until it knows a fence
    Given 1 order engine with 4 places that hold "kurz@v1"
    When order sidecar "e0" restarts and hears an order with fence 3
    Then the order sidecars refused 1 order as stale
    When order sidecar "e0" hears fence 5 from its engine
    And order sidecar "e0" hears an order with fence 4
    Then the order sidecars refused 2 orders as stale
    When order sidecar "e0" hears fence 6 announced
    And order sidecar "e0" hears an order with fence 6
    Then order engine "e0" is asked to load "kurz@v9"

  Scenario: An unload waits for the work on the version
    Given 5 order engines with 4 places that hold "kurz@v1"
    And an order table with "kurz@v1" as "ok"
    When order engine "e2" has work on "kurz@v1"
    And the order table makes "kurz@v1" withdrawn
    And the order rounds settle
    Then 1 order engine holds "kurz@v1" and 0 hold "kurz@v2"
    When order engine "e2" has no more work
    And the order rounds settle
    Then 0 order engines hold "kurz@v1" and 0 hold "kurz@v2"

  Scenario: Versions of other users and plain services get no orders
    Given 5 order engines with 4 places that hold "other@v7"
    And an order table with "booking@v1" as "ok"
    And "booking" is a plain service to the order owner
    When the order rounds settle
    Then 5 order engines hold "other@v7" and 0 hold "booking@v1"

  Scenario: An engine that refuses is asked again by later rounds
    Given 3 order engines with 4 places that hold nothing
    And an order table with "kurz@v1" as "ok"
    When order engine "e1" refuses its first 2 orders
    And the order rounds settle
    Then 3 order engines hold "kurz@v1" and 0 hold "kurz@v2"

  Scenario: New work on a version that is given up goes elsewhere
    Given an order sidecar with a running request on "kurz@v1"
    When the order sidecar is told to unload "kurz@v1"
    And the order sidecar gets another request on "kurz@v1"
    Then the order sidecar refuses it as not run and asks its engine nothing
    When the running request of the order sidecar ends
    Then the order sidecar asks its engine to unload "kurz@v1"

  Scenario Outline: Only an entry that surely has the duty gives orders
    Given an order entry that owns the duty with fence 7
    And two order engines and a listed service that it has heard of
    When <fault> at the order entry
    Then the order entry orders <orders> within 10 s
    And every order of the order entry comes after its first 4 s

    Examples:
      | fault                                  | orders                    |
      | nothing happens                        | loads at both engines     |
      | the ownership is not confirmed         | nothing                   |
      | another entry owns the duty's shard    | nothing                   |
      | the store is out for everyone          | nothing                   |
      | the table is not fresh                 | nothing                   |
      | a graceful stop begins                 | nothing                   |
      | one engine leaves                      | a load at the other one   |
      | the listed service is unheard of       | nothing                   |
