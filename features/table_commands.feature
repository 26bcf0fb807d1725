Feature: Operators edit the table from the command line

  Background:
    Given a table store served over HTTP with one row

  Scenario: Setting a cell waits until the edit is in force on every process
    Given table edits reach entry-1 after 0 polls and entry-2 after 2 polls
    When the table command is: set "TC Hall" plan 1.10 weight_points ４０ --wait
    Then the table command prints "Still behind: entry-2, sidecar-entry-2"
    And the table command prints "Revision 2 is in force everywhere."

  Scenario: A wait that times out names the processes that have not confirmed
    Given table edits reach entry-1 after 0 polls and entry-2 after 1000 polls
    When the table command is: set "TC Hall" plan 1.10 weight_points 40 --wait
    Then the table command fails with table_not_confirmed naming "entry-2"
    And the stored table is at revision 2

  Scenario: A wait fails when the host list contains no entry
    When the table command is: set "TC Hall" plan 1.10 weight_points 40 --wait
    Then the table command fails with table_not_confirmed naming "/hosts"

  Scenario: A write whose response is lost is confirmed by reading the table
    Given the table store drops the response to the next write
    When the table command is: set "TC Hall" plan 1.10 weight_points 40
    Then the table command prints "Accepted as revision 2."
    And the table store received 1 write
    And the stored table is at revision 2

  Scenario: An edit succeeds after several lost responses to reads
    Given the table store drops the responses to the next 6 reads
    When the table command is: set "TC Hall" plan 1.10 weight_points 40
    Then the table command prints "Accepted as revision 2."
    And the table store received 1 write

  Scenario: An edit fails without a write when the table can't be read
    Given the table store drops the responses to the next 100 reads
    When the table command is: set "TC Hall" plan 1.10 weight_points 40
    Then the table command fails with store_unavailable naming "GET table: unknown"
    And the table store received 0 writes

  Scenario: An edit with an outdated expected value is refused with both values
    When the table command is: set "TC Hall" plan 1.10 weight_points 40 --expected 90
    Then the table command fails with edit_conflict naming "Yours: 40. Now there: 100"
    And the stored table is at revision 1

  Scenario Outline: Invalid input is refused with a remedy: <arguments>
    When the table command is: <arguments>
    Then the table command fails with <code> naming "<naming>"

    Examples:
      | arguments                                      | code      | naming               |
      | set "TC Hall" plan 1.10 weight_points 1,5      | bad_cell  | without a comma      |
      | set "ТС Hall" plan 1.10 weight_points 5        | bad_cell  | TC Hall              |
      | set "TC Hall" plan 1.1 weight_points 5         | not_found | plan@1.1             |
      | set "TC Hall" plan 1.10 weight 5               | bad_cell  | column code          |
      | set "TC Hall" plan 1.10 model x                | bad_cell  | Add a new row        |

  Scenario: The history lists added and removed rows
    When the table command is: add "Kumamoto 線" plan 2 --priority 1
    And the table command is: remove "TC Hall" plan 1.10
    And the table command is: history
    Then the table command prints "add Kumamoto 線 plan@2"
    And the table command prints "remove TC Hall plan@1.10"
    And the stored table is at revision 3

  Scenario: Importing an unmodified export changes nothing
    When the table is exported to a file and imported again
    Then the table command prints "Nothing to change."
    And the stored table is at revision 1
