@quick
Feature: Only the adapter uses the platform's names

  Scenario: The packages contain no names of the platform's interfaces
    Then no header or field name of the platform occurs in the packages

  Scenario: The adapter is small
    Then the adapter has less than a tenth of the product's lines
