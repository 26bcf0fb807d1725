@quick
Feature: What the tests rely on

  Scenario: The descriptors of a process that opens and closes files can be read
    Given a pipe is held while files are opened and closed
    Then the descriptors are read 500 times, and the pipe is found each time
