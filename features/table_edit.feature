Feature: Operators edit one table at the same time
  An edit holds for its cell alone. Two edits of one cell are never settled
  by chance, and an edit whose answer was lost is applied once.

  Background:
    Given the table holds these rows
      | organisation | model  | version | weight_points | priority | status |
      | TC Innsbruck | schedu | 1.10    | 100           | 5        | ok     |
      | Kumamoto 線  | plan   | 2       | 80            | 5        | held   |

  Scenario: Edits of two cells of one row both hold
    When table operator anna, who saw revision 2, sets weight_points of row 1 from 100 to 40
    And table operator ken, who saw revision 2, sets priority of row 1 from 5 to 1
    Then the table is at revision 4
    And the table holds 40 in weight_points of row 1
    And the table holds 1 in priority of row 1

  Scenario: The second edit of one cell is refused with both values
    When table operator anna, who saw revision 2, sets weight_points of row 1 from 100 to 40
    And table operator ken, who saw revision 2, sets weight_points of row 1 from 100 to 70
    Then the table edit is refused with edit_conflict
    And the table refusal reads in ja: 入力値: 70、現在の値: 40(設定者: anna、日時: 2026-12-03T09:00:00Z)
    And the table refusal reads in de: Ihr Wert: 70. Jetziger Wert: 40, gesetzt von anna am 2026-12-03T09:00:00Z.
    And the table is at revision 3

  Scenario: A removed row isn't brought back by an edit of its cell
    When table operator anna removes row 1
    And table operator ken, who saw revision 2, sets weight_points of row 1 from 100 to 70
    Then the table edit is refused with edit_conflict
    And the table is at revision 3

  Scenario: A row that was edited isn't removed by someone who saw it before
    When table operator ken, who saw revision 2, sets weight_points of row 1 from 100 to 70
    And table operator anna removes row 1
    Then the table edit is refused with edit_conflict

  Scenario Outline: Operators leave the status to the system
    When table <who>, who saw revision 2, sets status of row <row> from <old> to <new>
    Then the table edit is <end>

    Examples:
      | who          | row | old  | new      | end                   |
      | operator ken | 1   | ok   | held     | refused with bad_cell |
      | operator ken | 2   | held | stage:50 | refused with bad_cell |
      | operator ken | 2   | held | ok       | accepted              |
      | system pilot | 1   | ok   | stage:5  | accepted              |

  Scenario: A repeated write id is applied once
    When table operator anna, who saw revision 2, sets weight_points of row 1 from 100 to 40
    And the last table edit is sent again
    Then the table edit is accepted
    And the table is at revision 3

  Scenario: A repeat that the history can't recognise is refused
    When table operator anna, who saw revision 2, sets weight_points of row 1 from 100 to 40
    And the table weight of row 1 is set 200 times and ends at 100
    And the first table edit is sent again
    Then the table edit is refused with edit_conflict
    And the table history holds 200 edits

  Scenario: A batch with one bad edit changes nothing
    When a table batch sets weight_points of row 1 to 40 and then adds row 2 again
    Then the table edit is refused with edit_conflict
    And the table is at revision 2

  Scenario: A name that looks like another is refused
    When table operator ken adds organisation TC lnnsbruck with model schedu and version 1.10
    Then the table edit is refused with bad_cell

  Scenario: The stored table stays bounded at the target size
    When the table is filled with 250 organisations of 7 versions
    Then the table object takes less than 400000 bytes
    And the table object decodes to the same table and digest
    And rows beyond the table limit are refused

  Scenario: The history of large rows stays within its bytes
    When 200 table rows of 16 classes with long names come
    Then the table history takes at most 200000 bytes and ends at the last edit

  Scenario: Interleaved operators agree with a plain serial model
    Then 300 runs of table operators with lost replies, conflicts and repeats agree with a serial model

  Scenario: A store that never answers leaves the outcome unknown
    When a table edit's writes are all lost
    Then the table edit ends as store_unavailable with run state unknown

  Scenario: A write that may still land keeps the outcome unknown
    When a table edit's first write is late and the store then throttles
    Then the table edit ends as store_unavailable with run state unknown

  Scenario: A write that never reached the store was not run
    When a table edit's writes are all throttled
    Then the table edit ends as store_unavailable with run state not_run
