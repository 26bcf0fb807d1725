@fleet.platzwart
Feature: A request that crashes its upstreams takes down two at most

  Scenario: One crashing request among innocent streams
    Given every engine crashes over a request with the word "poison-one"
    When 12 innocent callers stream slow chats from all entries
    And a caller sends the word "poison-one" to entry 0
    Then the crashing request is refused and may have run
    And its repeats at every entry are refused at once as crash suspects
    And at most 2 engines have crashed
    And each innocent stream is whole

  Scenario: The caller sends the crashing request again to every entry
    Given every engine crashes over a request with the word "poison-all"
    When 12 innocent callers stream slow chats from all entries
    And callers send the word "poison-all" to every entry one after another
    Then its repeats at every entry are refused at once as crash suspects
    And at most 2 engines have crashed
    And each innocent stream is whole
