Feature: Operators edit the table from the command line

  Background:
    Given a table store served over HTTP with one row

  Scenario: Setting a cell waits until it is in force everywhere
    Given table entry-1 lags 0 polls and table entry-2 lags 2 polls
    When the table command is: set "TC Hall" plan 1.10 weight_points ４０ --wait
    Then the table command prints "Still behind: entry-2, sidecar-entry-2"
    And the table command prints "Revision 2 is in force everywhere."

  Scenario: Waiting ends with those that have not confirmed
    Given table entry-1 lags 0 polls and table entry-2 lags 1000 polls
    When the table command is: set "TC Hall" plan 1.10 weight_points 40 --wait
    Then the table command fails with table_not_confirmed naming "entry-2"
    And the stored table is at revision 2

  Scenario: An empty host list confirms nothing
    When the table command is: set "TC Hall" plan 1.10 weight_points 40 --wait
    Then the table command fails with table_not_confirmed naming "/hosts"

  Scenario: A lost answer is settled by reading back
    Given the table store loses the next answer after writing
    When the table command is: set "TC Hall" plan 1.10 weight_points 40
    Then the table command prints "Accepted as revision 2."
    And the table store saw 1 write
    And the stored table is at revision 2

  Scenario: A table whose reads are lost for a while is edited all the same
    Given the table store loses the answers of the next 6 reads
    When the table command is: set "TC Hall" plan 1.10 weight_points 40
    Then the table command prints "Accepted as revision 2."
    And the table store saw 1 write

  Scenario: A table that stays unread is refused as such, with nothing written
    Given the table store loses the answers of the next 100 reads
    When the table command is: set "TC Hall" plan 1.10 weight_points 40
    Then the table command fails with store_unavailable naming "GET table: unknown"
    And the table store saw 0 writes

  Scenario: A stale expectation is refused with both values
    When the table command is: set "TC Hall" plan 1.10 weight_points 40 --expected 90
    Then the table command fails with edit_conflict naming "Yours: 40. Now there: 100"
    And the stored table is at revision 1

  Scenario Outline: Mistakes are refused with the remedy: <arguments>
    When the table command is: <arguments>
    Then the table command fails with <code> naming "<naming>"

    Examples:
      | arguments                                      | code      | naming               |
      | set "TC Hall" plan 1.10 weight_points 1,5      | bad_cell  | without a comma      |
      | set "ТС Hall" plan 1.10 weight_points 5        | bad_cell  | TC Hall              |
      | set "TC Hall" plan 1.1 weight_points 5         | not_found | plan@1.1             |
      | set "TC Hall" plan 1.10 weight 5               | bad_cell  | column code          |
      | set "TC Hall" plan 1.10 model x                | bad_cell  | Add a new row        |

  Scenario: Rows come and go, and the history tells
    When the table command is: add "Kumamoto 線" plan 2 --priority 1
    And the table command is: remove "TC Hall" plan 1.10
    And the table command is: history
    Then the table command prints "add Kumamoto 線 plan@2"
    And the table command prints "remove TC Hall plan@1.10"
    And the stored table is at revision 3

  Scenario: An export comes back as an import without changes
    When the table is exported to a file and imported again
    Then the table command prints "Nothing to change."
    And the stored table is at revision 1
