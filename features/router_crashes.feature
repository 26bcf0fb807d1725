@quick
Feature: A request that ends its upstreams reaches few of them

  Scenario: What is believed of a request that ends upstreams has its lines
    Given 3 entries before 8 upstreams, and a request that ends them
    When its caller sends it 12 times
    Then each line on a failed attempt names the request and its break-offs
    And lines say what peers told of it
    And the line on its refusal names what was known
