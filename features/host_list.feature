Feature: Reading the platform's host list

  Every entry reads the full list each second, and the list changes a few
  hundred times a day. Conditional requests save sending an unchanged list.

  Scenario: An unchanged list is sent once
    Given a host list of 970 hosts
    When the list is read 20 times
    Then the host list answered 19 of 20 reads with 304
    And it sent 1 body in total
    And a 304 response has at most 250 bytes

  Scenario: A platform without ETags sends the full list each time
    Given a host list of 970 hosts
    And the host list sends no ETags
    When the list is read 20 times
    Then the host list answered 0 of 20 reads with 304
    And it sent 20 bodies in total

  Scenario: Cached lists and full lists have the same effect on membership
    Given a host list of 6 hosts
    Then entries with and without ETags have equal states over random histories

  Scenario: A late 304 response refers to the list whose ETag was sent
    Given a host list of 6 hosts
    When a read answered with 304 ends after a read of a newer list
    Then the late read returns the list whose ETag it sent
    And the next read returns the newer list
