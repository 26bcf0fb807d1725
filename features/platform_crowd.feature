Feature: An entry outlives crowds of callers that misbehave

  Scenario Outline: <count> callers send <conduct> to "<target>"
    Given an entry on a small host
    When <count> callers send <conduct> to "<target>"
    Then the entry serves a caller and says that it is ready
    And the entry has kept to its host's memory and descriptors

    Examples: Bodies of legal size that stop short of their end
      | count | conduct                    | target   |
      | 64    | bodies in one piece        | /book/x  |
      | 64    | bodies in small pieces     | /book/x  |
      | 64    | bodies in chunks of a byte | /book/x  |
      | 64    | bodies in one piece        | /nosuch  |
      | 64    | bodies in chunks of a byte | /nosuch  |
      | 64    | bodies in one piece        | /ready   |
      | 64    | bodies in chunks of a byte | /metrics |

    Examples: Bodies over the limit
      | count | conduct               | target  |
      | 64    | bodies over the limit | /book/x |
      | 64    | chunks without end    | /book/x |
      | 64    | chunks without end    | /ready  |

    Examples: Very many short fields
      | count | conduct                   | target   |
      | 64    | header fields             | /book/x  |
      | 64    | header fields without end | /book/x  |
      | 64    | header fields without end | /ready   |
      | 64    | one endless field         | /nosuch  |
      | 64    | chunk extensions          | /book/x  |
      | 64    | trailers                  | /book/x  |
      | 64    | query fields              | /look/x  |
      | 64    | cookies                   | /look/x  |
      | 64    | prompt parts              | /chat/x  |
      | 64    | connection tokens         | /look/x  |

    Examples: Requests sent ahead
      | count | conduct             | target   |
      | 64    | requests sent ahead | /look/x  |
      | 64    | requests sent ahead | /nosuch  |
      | 64    | requests sent ahead | /ready   |
      | 64    | requests sent ahead | /metrics |

    Examples: Slow callers
      | count | conduct                    | target   |
      | 700   | part of a request line     | /book/x  |
      | 700   | part of a header           | /nosuch  |
      | 700   | part of a body             | /book/x  |
      | 700   | requests, and read nothing | /look/x  |
      | 700   | requests, and read nothing | /chat/x  |
      | 700   | part of a header           | /ready   |
      | 700   | part of a body             | /metrics |
