Feature: Each mechanism of the path is needed, shown in the fleet in memory

  One fault a scenario, brought about at a chosen message; each scenario fails
  when the mechanism that it is named for is switched off.

  Scenario Outline: A lost <message> is asked for again
    Given a fleet in memory
    When a chat runs and its <message> gets lost once
    Then the chat has its whole answer
    And an engine has run it 1 time

    Examples:
      | message       |
      | second chunk  |
      | end           |

  Scenario: A broken stream resumes where its caller's answer stopped
    Given a fleet in memory
    When a chat runs and its upstream breaks off in the middle
    Then the chat has its whole answer
    And an engine has run it 2 times
    And the second run began with the first token that the caller lacked

  # The tokens bear their attempts' numbers; the naive model checks them.
  Scenario: Late chunks of an attempt that broke off are dropped
    Given a fleet in memory
    When a chat's fourth chunk comes last of all and the next ones late, and its upstream breaks off in the middle
    Then the chat has its whole answer
    And late chunks of the first run came after the second had begun

  Scenario: Late copies of a cheap answer don't get into the dear one's
    Given a fleet in memory
    When 30 whole chats run and each chunk comes again much later
    Then all these chats have their whole answers
    And some of them were run on two versions

  Scenario: What a caller left is cancelled at the upstream
    Given a fleet in memory
    When a chat runs and its caller leaves in the middle
    Then no upstream of the fleet in memory runs anything

  Scenario: A bill whose entries died in an outage is handed in by the sidecar
    Given a fleet in memory
    When a chat is answered in an outage and both entries die, one of them for good
    And the store of the fleet in memory answers again
    Then the chat has 1 bill

  Scenario: A booking in a known outage is refused at once
    Given a fleet in memory
    When a booking is sent 10 seconds after an outage began
    Then the booking is refused in the same instant, as not run

  Scenario: A rating that comes too late doesn't hold the answer
    Given a fleet in memory
    When a chat runs whose first answer's rating comes after every deadline
    Then the stronger version has answered it
    And half its deadline has been enough for it

  Scenario: A cascade goes on without its first version's upstreams
    Given a fleet in memory
    When a chat runs whose first version's only upstream breaks off
    Then the stronger version has answered it

  Scenario: An escalation waits for the first slice of the stronger version
    Given a fleet in memory
    When the first chat of its entry runs and its answer can't be rated
    Then the stronger version has answered it

  Scenario Outline: The sidecar judges by its own table just before hand-over
    Given a fleet in memory
    When a submit comes that an older table allowed, <pinned>, and its version is now <state>
    Then the sidecar in memory has <done> it

    Examples:
      | state     | pinned      | done    |
      | offered   | not pinned  | run     |
      | draining  | not pinned  | refused |
      | draining  | pinned      | run     |
      | withdrawn | not pinned  | refused |
      | withdrawn | pinned      | refused |
