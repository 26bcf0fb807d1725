@quick
Feature: A sidecar limits the size of an upstream's response

  A faulty upstream may repeat a part of its response endlessly, and would fill
  the sidecar's memory or keep a call open until its timeout.

  Scenario Outline: An endless response of a plain service is aborted
    When the sidecar calls a plain service that sends <bytes> endlessly
    Then the sidecar aborts the call within 16 MB

    Examples:
      | bytes             |
      | interim responses |
      | blank lines       |
      | a chunk size      |
      | trailers          |
      | a body            |

  Scenario Outline: An endless stream of an engine is aborted
    When the sidecar calls an engine that sends <bytes> endlessly
    Then the sidecar aborts the call within 16 MB

    Examples:
      | bytes             |
      | interim responses |
      | a chunk size      |
      | an event          |
      | comments          |
      | empty events      |

  Scenario Outline: An upstream with an endless load report is unhealthy
    When the sidecar requests the load of an upstream that sends <bytes> endlessly
    Then the upstream is reported as unhealthy within 16 MB

    Examples:
      | bytes             |
      | interim responses |
      | a body            |

  Scenario: Sequential calls on one connection don't share a limit
    When the sidecar makes 3 calls to an upstream, each answered with 400 KB
    Then all calls complete on one connection
