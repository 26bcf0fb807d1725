@quick
Feature: Cancelling an exchange doesn't affect other connections

  Scenario: An attempt at an upstream
    Then cancelling an attempt while it connects closes no other socket

  Scenario: An attempt that is cancelled before it begins
    When an attempt is cancelled in the turn in which it is sent
    Then its upstream gets no connection

  Scenario: A call to the store
    Then cancelling a store call while it connects closes no other socket

  Scenario: A call to the object API of the product's own interface
    Then cancelling an object call while it connects closes no other socket
