@quick
Feature: Upstreams' bytes without end don't fill a sidecar

  Scenario Outline: A plain answer that has no end is broken off
    When the sidecar calls a plain service that sends <bytes> without end
    Then the call breaks off by itself before 16 MB have come

    Examples:
      | bytes             |
      | interim responses |
      | blank lines       |
      | a chunk size      |
      | trailers          |
      | a body            |

  Scenario Outline: A stream that has no end is broken off
    When the sidecar calls an engine that sends <bytes> without end
    Then the call breaks off by itself before 16 MB have come

    Examples:
      | bytes             |
      | interim responses |
      | a chunk size      |
      | an event          |
      | comments          |
      | empty events      |

  Scenario Outline: A load report that has no end tells nothing
    When the sidecar asks an upstream for its load that sends <bytes> without end
    Then the upstream is taken to be out of reach before 16 MB have come

    Examples:
      | bytes             |
      | interim responses |
      | a body            |

  Scenario: Calls one after the other over one connection are all answered
    When the sidecar makes 3 calls to an upstream that answers 400 KB each
    Then each of them is complete
