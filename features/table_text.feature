Feature: The table reads the same in Innsbruck and Kumamoto

  Scenario Outline: Export and import return the same table as <form>
    Then 100 tables come back the same from table export <form>

    Examples:
      | form |
      | csv  |
      | tsv  |

  Scenario: Wide characters keep the columns aligned
    Given the table holds these rows
      | organisation | model  | version | weight_points | priority | status |
      | TC Innsbruck | schedu | 1.10    | 100           | 5        | ok     |
      | Kumamoto 線  | plan   | 2       | 80            | 5        | held   |
    Then the table columns start at the same place in each language
    And the table codes are the same in each language

  Scenario: An import is a list of edits against what is there
    Given the table holds these rows
      | organisation | model  | version | weight_points | priority | status |
      | TC Innsbruck | schedu | 1.10    | 100           | 5        | ok     |
      | Kumamoto 線  | plan   | 2       | 80            | 5        | held   |
    When the table export has weight_points ４０ for 100 and is imported
    Then the table changes are: set TC Innsbruck schedu@1.10 weight_points: 100 -> 40

  Scenario Outline: An import that is not whole is refused: <fault>
    Given the table holds these rows
      | organisation | model  | version | weight_points | priority | status |
      | TC Innsbruck | schedu | 1.10    | 100           | 5        | ok     |
    When the table export is imported with <damage>
    Then the table import is refused as <fault>

    Examples:
      | damage           | fault         |
      | a column missing | wrong_columns |
      | a row twice      | repeated_row  |
      | a cell emptied   | empty         |
