@quick
Feature: A request that ends its upstreams reaches few of them

  Three upstreams may end before the request is known for what it is. The users
  let it reach three more later than 3 s after that.

  Scenario: What is believed of a request that ends upstreams has its lines
    Given 3 entries in 1 data centre, and a "note" request that ends upstreams
    When its caller sends it 12 times, each 1 s
    Then each line on a failed attempt names the request and its break-offs
    And lines say what peers told of it
    And the line on its refusal names what was known

  Scenario Outline: A request that comes to each entry in turn ends few upstreams
    Given <entries> entries in <places> data centres, and a "<route>" request that ends upstreams
    When its caller sends it <times> times, each <pause> s
    Then at most 3 sendings reach upstreams later than 3 s after the third end
    And some of its sendings are refused as a crash suspect

    Examples:
      | entries | places | route | times | pause |
      | 1       | 1      | note  | 10    | 4     |
      | 5       | 1      | note  | 20    | 4     |
      | 5       | 3      | look  | 20    | 4     |
      | 9       | 3      | note  | 20    | 1     |
      | 27      | 3      | note  | 40    | 1     |
      | 27      | 3      | chat  | 40    | 1     |

  Scenario: An upstream that is back unlisted and ends again counts twice
    Given 1 entry in 1 data centre, and a "note" request that ends upstreams
    And the list tells of no restart
    When its caller sends it 12 times, each 4 s
    Then at most 3 sendings reach upstreams later than 3 s after the third end

  Scenario Outline: A request that ends upstreams is remembered though each entry that sent it is replaced
    Given 5 entries in 1 data centre, and a "<route>" request that ends upstreams
    When its caller sends it 20 times, each 3 s, and each entry that took it is replaced
    Then at most 3 sendings reach upstreams later than 3 s after the third end

    Examples:
      | route |
      | note  |
      | chat  |

  Scenario: An upstream's failure doesn't clear a request that ends upstreams
    Given 1 entry in 1 data centre, and a "note" request that ends upstreams
    And every third of its attempts is answered with 500 in place of an end
    When its caller sends it 30 times, each 1 s
    Then at most 3 sendings reach upstreams later than 3 s after the third end

  Scenario: A good answer at one entry clears a request at all entries
    Given 6 entries in 2 data centres, and a "note" request that ends upstreams
    When it is sent once to an upstream that bears it
    And its caller sends it 4 times, each 2 s
    And that sending has a good answer
    And the fleet goes on for 4 s
    Then every entry sends it to an upstream again

  Scenario: An entry that was away when a request was cleared learns of it
    Given 6 entries in 2 data centres, and a "note" request that ends upstreams
    When it is sent once to an upstream that bears it
    And its caller sends it 4 times, each 2 s
    And "west-1" is cut off for 6 s in which it has a good answer
    And the fleet goes on for 4 s
    Then every entry sends it to an upstream again

  Scenario: Others that break off don't make a request that ends upstreams forgotten
    Given 1 entry in 1 data centre, and a "note" request that ends upstreams
    When its caller sends it 12 times, each 1 s, and 1100 other requests break off each time
    Then at most 3 sendings reach upstreams later than 3 s after the third end

  Scenario: What is forgotten for want of room has its line, whoever told of it
    Given 2 entries in 1 data centre, and a "note" request that ends upstreams
    When peers tell "entry-0" of 6000 other requests that ended upstreams
    And the fleet goes on for 2 s
    Then "entry-0" has a line on each of the 6000 that it forgot, and forgot some

  Scenario: A caller's new key doesn't make another request of one that ends upstreams
    Given 3 entries in 1 data centre, and a "note" request that ends upstreams
    When its caller sends it 12 times, each 1 s, with a new key each time
    Then at most 3 sendings reach upstreams later than 3 s after the third end

  Scenario Outline: An upstream that ends silently counts as ended
    Given 3 entries in 1 data centre, and a "<route>" request that ends upstreams
    And upstreams that end do so silently
    When its caller sends it 12 times, each 4 s
    Then at most 3 sendings reach upstreams later than 3 s after the third end

    Examples:
      | route |
      | look  |
      | book  |
      | chat  |

  Scenario: A slow upstream that goes on counts as nothing
    Given 1 entry in 1 data centre, and a "look" request that ends upstreams
    When it is sent 6 times to upstreams that are silent and live, each 4 s
    Then every entry sends it to an upstream again

  Scenario Outline: Histories of entries that are killed, suspended and cut off
    Then in 30 generated histories of <entries> entries in <places> data centres few upstreams end

    Examples:
      | entries | places |
      | 3       | 1      |
      | 6       | 2      |
      | 12      | 3      |

  Scenario: An end at the moment of a good answer, and another one later
    Given 1 entry in 1 data centre, and a "note" request that ends upstreams
    When it is sent twice to one upstream, and one sending is answered as the other breaks off
    And its caller sends it 6 times, each 4 s
    Then at most 3 sendings reach upstreams later than 3 s after the third end
