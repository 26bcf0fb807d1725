Feature: Signals to the programs of the own interface, from start to end

  # Until its handlers were set, a signal ended the process with its number.
  Scenario Outline: A program is stopped while it loads its libraries
    When the <program> is started, and gets <signal> while it loads
    Then it exits with code 0 within 10 s

    Examples:
      | program   | signal  |
      | entry     | SIGTERM |
      | entry     | SIGINT  |
      | entry     | SIGHUP  |
      | sidecar   | SIGTERM |
      | sidecar   | SIGHUP  |
      | stand-ins | SIGTERM |

  # The loop gave signals their default action back before the process ended.
  Scenario Outline: A program gets signals until it is gone
    When the <program> is started, and gets SIGTERM and SIGHUP every 5 ms from then on
    Then it exits with code 0 within 10 s

    Examples:
      | program   |
      | entry     |
      | sidecar   |
      | stand-ins |

  Scenario: An entry that ignores hang-ups goes on
    When the entry is started with SIGHUP ignored, and gets it while it loads
    Then it still runs after 2 s

  # The processes that the demo had started went on without it.
  Scenario Outline: The demo is ended by a signal
    When the demo has started processes, and gets <signal>
    Then it exits with code <code> within 20 s
    And none of its processes is left

    Examples:
      | signal  | code |
      | SIGTERM | 143  |
      | SIGHUP  | 129  |

  # In CI the end came between fork and note; the process was left behind.
  Scenario Outline: A signal comes while a process is being started
    Given a program whose signals end it by an exception
    When <signal> comes before the start of a process returns
    Then the program ends with code <code>, and has noted the process

    Examples:
      | signal  | code |
      | SIGTERM | 143  |
      | SIGHUP  | 129  |
      | SIGINT  | 130  |
