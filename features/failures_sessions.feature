Feature: A session keeps its version whatever fails

  Sessions begin with the model "kurz" and go on with "auto", which would lead
  elsewhere without a pin. A turn may be refused as not run while a fault is
  fresh, and is sent again; each answer must be the session's version's.

  Background:
    Given a fleet that offers "kurz@v1" and "kurz@v2"
    And 8 sessions begun at entry 0

  Scenario: Sessions stay on their version at every entry and through edits
    When the operator sets "weight_points" of "kurz@v1" to "1"
    Then the edit is in force in time
    And every session keeps its version at each entry that runs

  Scenario: The entry that served the first turn is killed
    When entry 0 is killed
    Then every session keeps its version at each entry that runs

  Scenario: The owner of a session's shard is killed
    When the owner of the first session's shard is killed
    Then every session keeps its version at each entry that runs
    When 4 sessions are begun at entries that run
    Then every session keeps its version at each entry that runs

  Scenario: Sessions that begin and go on in an outage of the store
    When the store goes down for everyone
    And 4 sessions are begun at entries that run
    Then every session keeps its version at each entry that runs
    When the store answers again
    Then every session keeps its version at each entry that runs

  Scenario: An entry is killed in an outage of the store
    When the store goes down for everyone
    And 4 sessions are begun at entries that run
    And entry 0 is killed
    And the store answers again
    Then every session keeps its version at each entry that runs

  Scenario: A shard's owner is paused past its lease and goes on
    Given a booking with the key of this scenario has run
    When the owner of the first session's shard is paused until it is replaced
    And 4 sessions are begun at entries that run
    Then every session keeps its version at each entry that runs
    When the paused owner goes on
    Then every session keeps its version at each entry that runs
    And a repeat of the booking at each entry runs nothing
    And every shard has one owner

  Scenario: A draining version keeps its sessions and takes no new ones
    When the operator sets "state" of "kurz@v1" to "draining"
    Then the edit is in force in time
    And every session keeps its version at each entry that runs
    When 8 sessions are begun at entries that run
    Then none of them is on "kurz@v1"

  Scenario: A withdrawn version refuses the next turn and names the remedy
    When the operator sets "state" of "kurz@v1" to "withdrawn"
    Then the edit is in force in time
    And the sessions on "kurz@v1" are refused with "Start a new session."
    And the sessions on "kurz@v2" keep their version
