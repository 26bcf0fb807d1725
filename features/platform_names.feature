@quick
Feature: Only one folder knows the users' platform's names

  Scenario: No wire name stands outside the folder
    Then no header or field name of the platform stands in the packages

  Scenario: The folder is small
    Then the folder is under a tenth of the product's lines
