Feature: Other programs can embed each part

  Scenario: Every example of the embedding page runs
    Then the examples of the embedding page run one after the other

  Scenario: The core imports nothing that does I/O
    Then no module of the core imports sockets, loops, threads or clocks
