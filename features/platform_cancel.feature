@quick
Feature: An exchange that is broken off harms no other

  Scenario: An attempt at an upstream
    Then breaking off an attempt while it connects closes nobody else's socket

  Scenario: A call to the store
    Then breaking off a store call while it connects closes nobody else's socket

  Scenario: A call to the object API of the own interface
    Then breaking off an object call while it connects closes no other socket
