@quick
Feature: A request whose answers are lost is served again

  An upstream that loses an answer goes on: it stays listed, and answers others.
  So requests under which answers were lost are served from 8 s after the last
  loss on. An upstream that crashes doesn't go on, and the bound on requests that
  crash upstreams stays: three attempts later than 3 s after the third crash.

  # Guards against lost answers that count as crashes for ever, which refuses a
  # sound request for as long as it comes.
  Scenario Outline: A repeated request whose answers were lost is served again
    Given <entries> entries in <places> data centres, and upstreams that lose the answers of "<route>" polls by <end>
    When they lose them for 6.7 s, and polls come for 20 s more
    Then at least 3 answers were lost
    And every poll later than 8 s after the last loss is served

    Examples:
      | entries | places | route | end    |
      | 1       | 1      | look  | reset  |
      | 1       | 1      | note  | reset  |
      | 1       | 1      | chat  | close  |
      | 1       | 1      | chat  | event  |
      | 5       | 1      | look  | reset  |
      | 5       | 1      | note  | event  |
      | 5       | 1      | look  | silence |
      | 5       | 1      | chat  | caller |
      | 27      | 3      | look  | reset  |
      | 27      | 3      | chat  | reset  |

  # Guards against callers of sound requests who are told to stay away for a minute.
  Scenario Outline: A caller that returns when it is told to is served
    Given 5 entries in 1 data centres, and upstreams that lose the answers of "look" polls by reset
    When they lose them until a poll is refused, beside <rate> other requests a second
    Then a poll that returns whenever it is told to is served at most <most> s later, at its <returns>. return

    Examples:
      | rate | most | returns |
      | 0    | 8    | 2       |
      | 60   | 3    | 1       |

  # Guards against a suspicion that only the list of upstreams can end: it is late,
  # and doesn't change while the store is away.
  Scenario Outline: Other answers of the same upstreams settle a suspicion at once
    Given <entries> entries in <places> data centres, and upstreams that lose the answers of "chat" polls by reset
    And the store is away
    When they lose them for 6.7 s, and polls come for 12 s more beside 40 other requests a second
    Then at least 3 answers were lost
    And every poll later than 4 s after the last loss is served

    Examples:
      | entries | places |
      | 1       | 1      |
      | 5       | 1      |
      | 6       | 3      |

  # Guards against a part of prompts that is suspected for ever for lost answers.
  Scenario Outline: Requests that share a part with lost answers are served again
    Given <entries> entries in <places> data centres, and upstreams that lose the answers of "chat" polls by reset
    And the polls differ, and share the part "rare"
    When they lose them for 6.7 s, and polls come for 20 s more
    Then at least 3 answers were lost
    And every poll later than 8 s after the last loss is served

    Examples:
      | entries | places |
      | 1       | 1      |
      | 5       | 1      |

  # Guards against a withdrawal that is undone by an entry that hasn't heard of it.
  Scenario Outline: Entries that miss a withdrawal don't bring the suspicion back
    Given 6 entries in 2 data centres, and upstreams that lose the answers of "look" polls by reset
    When they lose them for 4 s while <what>
    Then at least 3 answers were lost
    And every entry sends a poll to an upstream

    Examples:
      | what                                                   |
      | "west-1" is cut off, and for 12 s more                 |
      | an entry starts 3 s after the last loss                |
      | an entry is suspended, and for 9 s more                |
      | an entry of an earlier release reports them repeatedly |

  # Guards against a planned shutdown that seems to confirm a crash.
  Scenario: An upstream that begins to leave after it has lost an answer hasn't crashed
    Given 5 entries in 1 data centres, and upstreams that lose the answers of "look" polls by reset
    When they lose them for 2 s, and all upstreams are replaced as planned within 4 s
    Then at least 3 answers were lost
    And every entry sends a poll to an upstream

  # Guards against planned shutdowns that count as crashes of the requests that they
  # interrupt, or whose callers leave meanwhile.
  Scenario Outline: An upstream that leaves as planned while it runs a request hasn't crashed
    Given 5 entries in 1 data centres, and upstreams that lose the answers of "<route>" polls by <end>
    When 4 upstreams leave as planned, each while it runs a poll
    Then at least 3 answers were lost
    And every entry sends a poll to an upstream

    Examples:
      | route | end    |
      | note  | reset  |
      | note  | caller |
      | book  | reset  |

  # Guards against a link between an entry and an upstream that is cut, which ends
  # all that runs there, as a crash would.
  Scenario: A link that is cut three times isn't three crashes
    Given 5 entries in 1 data centres, and upstreams that lose the answers of "note" polls by reset
    When the links of an entry to all upstreams are reset every 1.5 s for 6 s
    Then at least 3 answers were lost
    And every poll later than 8 s after the last loss is served

  # Guards against evidence for a request that has none: three upstreams crash, and
  # others lose answers meanwhile.
  Scenario Outline: A request that crashes upstreams stays refused beside lost answers
    Given <entries> entries in <places> data centres, and upstreams that lose the answers of "<route>" polls by reset
    And "fatal" polls crash upstreams, which <restart>
    When both come for 40 s, and answers are lost for 20 s of them
    Then at most 3 attempts of the fatal polls are sent later than 3 s after the third crash
    And at most <crashes> upstreams crash
    And every poll later than 10 s after the last loss is served

    Examples:
      | entries | places | route | restart                   | crashes |
      | 1       | 1      | look  | get other ids             | 3       |
      | 1       | 1      | chat  | keep their ids            | 3       |
      | 5       | 1      | note  | get other ids             | 4       |
      | 5       | 1      | chat  | keep their ids            | 3       |
      | 27      | 3      | look  | get other ids             | 3       |

  # Guards against lost answers that hide crashes of the same request.
  Scenario Outline: A request that crashes upstreams after its answers were lost stays refused
    Given <entries> entries in <places> data centres, and upstreams that lose the answers of "look" polls by reset
    When its answers are lost for <lost> s, and then it crashes upstreams for 30 s
    Then at most 3 attempts of the fatal polls are sent later than 3 s after the third crash
    And at most 3 upstreams crash

    Examples:
      | entries | places | lost |
      | 1       | 1      | 1    |
      | 1       | 1      | 2.5  |
      | 5       | 1      | 2.5  |
      | 5       | 1      | 12   |
      | 27      | 3      | 2.5  |

  # Guards against answers of a new process that are taken for those of the one
  # that crashed, since it has the same id and the store lists no change.
  Scenario: A crash stays known while the store is away, whatever the next process answers
    Given 5 entries in 1 data centres, and upstreams that lose the answers of "look" polls by reset
    And "fatal" polls crash upstreams, which keep their ids
    When the store is away for 25 s, and both come meanwhile
    Then at most 3 attempts of the fatal polls are sent later than 3 s after the third crash

  # Guards against an upstream that answers others in the moment in which it crashes.
  Scenario: A crash that ends connections one after the other stays known
    Given 1 entries in 1 data centres, and upstreams that lose the answers of "note" polls by reset
    And "fatal" polls crash upstreams, which get other ids
    And a crash goes on to answer others for 0.08 s
    When 300 other requests a second and fatal polls come for 15 s
    Then at most 3 attempts of the fatal polls are sent later than 3 s after the third crash
    And at most 5 upstreams crash

  # Guards against an entry that observes a crash long after it happened, and takes
  # the answers of the next process for those of the one that crashed.
  Scenario Outline: A crash that an entry learns of late stays known
    Given 2 entries in 1 data centres, and upstreams that lose the answers of "note" polls by reset
    And "fatal" polls crash upstreams, which keep their ids
    When the <suspended> is suspended for 5 s after each of 12 that an entry sends, and the store is away
    Then at most 3 attempts of the fatal polls are sent later than 3 s after the third crash
    And at most 5 upstreams crash

    Examples:
      | suspended   |
      | entry       |
      | other entry |

  # Guards against histories that no scenario above names.
  Scenario Outline: Histories of lost answers, crashes, and both at once
    Then in 12 histories of <entries> entries in <places> data centres with <what> both promises hold

    Examples:
      | entries | places | what                     |
      | 3       | 1      | lost answers             |
      | 3       | 1      | crashes                  |
      | 3       | 1      | lost answers and crashes |
      | 6       | 2      | lost answers and crashes |
