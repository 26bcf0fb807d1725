Feature: Whatever stops as planned loses nothing

  Callers stream long answers from every entry meanwhile. Each answer must be
  whole, and a process that is asked to stop ends with exit code 0.

  Background:
    Given a fleet that offers "kurz@v1" and "kurz@v2"
    And callers stream long answers from every entry

  Scenario: A sidecar that stops gets nothing new and finishes what runs
    Given the host list lags 25 seconds behind
    When the sidecar of engine 0 is asked to stop
    Then engine 0 gets nothing new from 3 seconds later on
    And the process has ended with exit code 0
    And every answer was whole

  Scenario: An upstream that the host list marks as leaving gets nothing new
    Given the host list lags 3 seconds behind
    When the host list marks engine 1 as leaving
    Then engine 1 gets nothing new from 6 seconds later on
    And every answer was whole

  Scenario: A sidecar of a service stops while bookings run
    Given bookings take a while and run on every service
    When the sidecar of service 0 is asked to stop
    Then the process has ended with exit code 0
    And every booking was answered and ran once

  Scenario: An entry stops with open streams
    When entry 1 is asked to stop with open streams
    Then the process has ended with exit code 0
    And no caller got a broken answer
    And the streams that were open at that entry ended whole
