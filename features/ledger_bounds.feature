Feature: Ledger bounds

  What an owner keeps of each kind is bounded in time and size.

  Scenario Outline: The ledger forgets records when their time is over
    Given a ledger memory with a committed <kind>
    Then the ledger memory knows it after <early> s and not after <late> s

    Examples:
      | kind     | early | late |
      | pin      | 1799  | 1801 |
      | claim    | 899   | 901  |
      | outcome  | 899   | 901  |
      | bill     | 539   | 541  |
      | evidence | 539   | 541  |
      | suspect  | 3599  | 3601 |

  Scenario: The ledger keeps a pin that is used
    Given a ledger memory with a committed pin
    When the ledger memory is asked for it after 1000 s
    Then the ledger memory knows it after 2700 s and not after 4501 s

  Scenario Outline: The ledger holds its bounds in size
    Given a ledger memory with <count> committed <kind> records of 100 bytes
    Then the ledger memory takes <verdict> more of that kind and has the oldest "<oldest>"

    Examples:
      | kind    | count | verdict | oldest |
      | pin     | 1000  | one     | yes    |
      | pin     | 3000  | one     | no     |
      | claim   | 100   | one     | yes    |
      | claim   | 1000  | none    | yes    |
      | bill    | 29999 | one     | yes    |
      | bill    | 30000 | none    | yes    |
      | suspect | 1000  | one     | no     |

  Scenario Outline: The ledger's checkpoint fits into an object at every bound
    Given a ledger memory of one of <shards> shards that is full of every kind
    Then the ledger's checkpoint of it is smaller than a megabyte

    Examples:
      | shards |
      | 1      |
      | 64     |
      | 96     |
      | 128    |
      | 1024   |

  Scenario: Of 128 shards each holds its part of the target's bills and claims
    # 3,100 requests a second, one in twenty of them a claim.
    Given a ledger memory of one of 128 shards
    When 24.2 bills a second come for 540 s
    And 1.21 claims of 145 bytes a second come for 900 s
    And 1.21 outcomes of 244 bytes a second come for 900 s
    Then the ledger memory took them all
    And the ledger's checkpoint of it is smaller than a megabyte

  Scenario: With many shards the ledger still recognises 15,000 bills a shard
    Given a ledger memory of one of 1024 shards
    When 100 bills a second come for 150 s
    Then the ledger memory took them all

  Scenario: The ledger sums evidence and keeps the sums
    Given a ledger memory that counts evidence
    When the ledger memory commits 5 batches and is restored from a checkpoint
    Then the ledger memory has the evidence sum 5 and knows the batches' keys

  Scenario Outline: The ledger takes a late fencing write for no take-over
    When a ledger take-over's fencing write is answered <after> s after it listed
    Then the ledger take-over succeeded: "<taken>"

    Examples:
      | after | taken |
      | 119   | yes   |
      | 121   | no    |

  Scenario: A call that may not be repeated is refused when there is no room
    Given an entry whose only shard has room for 1 claim
    When 3 calls that may not be repeated come, each with a key of its own
    Then 1 of them is claimed
    And 2 are refused at once as not run, to be sent again later
    And the first claim is still known
