@fleet.platzwart
Feature: Each caller gets its own whole answer under failure

  Scenario: Many callers at once
    When 45 callers stream different chats from all entries
    Then each stream has the undisturbed text of its own chat

  Scenario: A sidecar dies in the middle of its streams
    When 12 callers stream slow chats from all entries
    And the sidecar of the first stream is killed
    Then each stream has the undisturbed text of its own chat
    And the first stream was resumed at another sidecar

  Scenario: An engine crashes in the middle of its streams
    When 12 callers stream slow chats from all entries
    And the engine of the first stream crashes
    Then each stream has the undisturbed text of its own chat
    And the first stream was resumed at another sidecar

  Scenario: A sidecar is paused in the middle of its streams, then wakes
    When 12 callers stream slow chats from all entries
    And the sidecar of the first stream is paused until it is resumed elsewhere
    Then each stream has the undisturbed text of its own chat
    And the first stream was resumed at another sidecar

  Scenario: A sidecar is paused and wakes before it is given up
    When 12 callers stream slow chats from all entries
    And the sidecar of the first stream is paused for 1 second
    Then each stream has the undisturbed text of its own chat

  Scenario: An entry is paused in the middle of its streams
    When 12 callers stream slow chats from all entries
    And entry 0 is paused for 2 seconds
    Then each stream has the undisturbed text of its own chat

  Scenario: No upstream is left
    Given every sidecar beside an engine is paused for this
    Then a chat without upstreams is refused long before its deadline

  Scenario: The deadline passes
    Given the engines hang
    Then a chat with a deadline of 4 seconds is refused soon after it

  Scenario: The deadline is out of reach
    Then a chat with a deadline of 0.2 seconds is refused, as not run

  Scenario: The upstreams are overloaded
    Given a fleet of engines with few places that are known to be slow
    When 400 callers stream chats with a deadline of 30 seconds
    Then some are refused long before their deadline, as not run

  Scenario: The allowance is used up
    When an organisation with 600 requests a minute sends 80 chats at once
    Then some of them are refused at once for the allowance, as not run
