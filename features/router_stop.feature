@quick
Feature: A graceful stop interrupts no requests

  Background:
    Given a router that knows its configuration and 3 upstreams

  Scenario: The entry is unready immediately but still accepts requests
    When the router is asked to stop
    Then the router isn't ready
    When a caller asks "chat"
    Then the request has been sent 1 times

  Scenario: Streams that might not end in time are refused with a 503
    When the router is asked to stop
    And 3 s pass
    And a caller asks "chat"
    Then the caller has a 503 with Retry-After
    And the request has been sent 0 times

  Scenario: Short requests are still accepted late in the grace time
    When 1 caller is still sending a request
    And the router is asked to stop
    And 5 s pass
    And a caller asks "look"
    Then the request has been sent 1 times

  Scenario: The process exits once all requests are answered
    When a caller asks "look"
    And the router is asked to stop
    And 3 s pass
    Then the process keeps running
    When its upstream answers 200
    And 0.1 s pass
    Then the process exits

  Scenario: The process ends before it would be killed
    When a caller asks "chat"
    And the upstream begins a stream with events 1 to 3
    And the router is asked to stop
    And the upstream sends events for 6.7 s
    Then the process keeps running
    When the upstream sends events for 0.3 s
    Then the process exits

  Scenario: The process waits for a caller that is still sending its request
    When 1 caller is still sending a request
    And the router is asked to stop
    And 3 s pass
    Then the process keeps running
    When a caller asks "look"
    Then the request has been sent 1 times
    When its upstream answers 200
    And 0 callers are still sending a request
    And 0.1 s pass
    Then the process exits

  Scenario: A caller that never ends its request doesn't delay the end
    When 1 caller is still sending a request
    And the router is asked to stop
    And 6.5 s pass
    Then the process keeps running
    When 0.5 s pass
    Then the process exits

  # Callers that had waited for a slow start were reset as soon as it was over.
  Scenario: A process that was asked to stop long ago serves those who waited
    When the router is asked to stop, and hears of it 3 s later
    And 2 s pass
    Then the process keeps running
    When a caller asks "look"
    Then the request has been sent 1 times
    When its upstream answers 200
    And 0.6 s pass
    Then the process exits

  Scenario: A slow start doesn't prolong the grace time
    When 1 caller is still sending a request
    And the router is asked to stop, and hears of it 5 s later
    And 1.5 s pass
    Then the process keeps running
    When 0.5 s pass
    Then the process exits

  Scenario: A request that comes after the decision to exit doesn't run
    When the router is asked to stop
    And 3 s pass
    Then the process exits
    When a caller asks "look"
    Then the caller has a 503 with Retry-After
    And the request has been sent 0 times
