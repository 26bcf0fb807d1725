Feature: Cells read the same whatever keyboard typed them

  Scenario Outline: Input with one meaning is accepted: <note>
    When <typed> is typed into table column <column>
    Then the table cell reads <cell>

    Examples:
      | note                     | column              | typed                  | cell           |
      | full-width digits        | weight_points       | "１２０"               | "120"          |
      | ideographic spaces       | requests_per_minute | "　６００　"           | "600"          |
      | leading zeros            | priority            | "007"                  | "7"            |
      | decomposed umlaut        | organisation        | "Vo\u0308cklabruck"    | "Vöcklabruck"  |
      | half-width katakana      | organisation        | "ﾂｸｼ ｸﾞﾘｰﾝ"            | "ツクシ グリーン" |
      | full-width Latin letters | model               | "ｐｌａｎ－ｌ"         | "plan-l"       |
      | version with a zero      | version             | "1.10"                 | "1.10"         |
      | classes in any order     | classes             | "tag、chat, tag"       | "chat tag"     |
      | full-width state         | state               | "Ｄｒａｉｎｉｎｇ"     | "draining"     |

  Scenario Outline: Input with two meanings is refused: <note>
    When <typed> is typed into table column <column>
    Then the table cell is refused as <fault>

    Examples:
      | note                    | column                        | typed        | fault            |
      | decimal comma           | weight_points                 | "1,5"        | decimal_comma    |
      | full-width comma        | weight_points                 | "１，５"     | decimal_comma    |
      | German thousands        | requests_per_minute           | "1.000"      | separated        |
      | Japanese thousands      | requests_per_minute           | "１，０００" | separated        |
      | spaced thousands        | requests_per_minute           | "1 000"      | separated        |
      | fraction                | weight_points                 | "1.5"        | not_whole        |
      | raised digit            | weight_points                 | "5²"         | not_a_number     |
      | kanji digit             | weight_points                 | "五"         | not_a_number     |
      | below range             | priority                      | "-1"         | out_of_range     |
      | above range             | quality_target_per_mille      | "1001"       | out_of_range     |
      | nothing                 | price_millicent_per_1k_tokens | "　"         | empty            |
      | zero-width space        | organisation                  | "TC\u200bA"  | hidden_character |
      | formula                 | organisation                  | "=A1"        | name_start       |
      | unknown state           | state                         | "aktiv"      | bad_state        |
      | stage beyond a hundred  | status                        | "stage:101"  | bad_status       |

  Scenario Outline: A new name beside <there> is refused: <note>
    When the table names <there> and someone adds <typed>
    Then the table name is refused as looks_alike

    Examples:
      | note                  | there          | typed           |
      | Cyrillic letters      | "TC Hall"      | "ТС Hall"       |
      | Greek capital         | "Platzwart"    | "Ρlatzwart"     |
      | another case          | "Innsbruck"    | "INNSBRUCK"     |
      | capital I for l       | "Hall"         | "HaIl"          |
      | digit for letter      | "Rum-oben"     | "Rum-0ben"      |
      | sharp s               | "Schloßplatz"  | "Schlossplatz"  |
      | long-vowel mark, dash | "サーバ"       | "サ―バ"         |
      | long-vowel mark, one  | "サーバ"       | "サ一バ"        |
      | kanji for katakana    | "カメラ"       | "力メラ"        |

  Scenario: A name that differs visibly is accepted
    When the table names "TC Hall" and someone adds "TC Wattens"
    Then the table name is accepted

  Scenario: Each text exists in each language
    Then each table heading, error code and cell fault has a text in each language
