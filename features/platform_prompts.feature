@quick
Feature: The shared parts of a prompt are known however its caller writes them

  Scenario Outline: The ids of shared parts don't depend on their spelling
    When a caller names the parts of its prompt as "<parts>"
    Then the shared parts are "<shared>"

    Examples:
      | parts                          | shared    |
      | 5c1e:800,91bd:410,e440:250     | 5c1e,91bd |
      | 5C1E:800,91Bd:410,e440:250     | 5c1e,91bd |
      | 005c1e:800,091bd:410,e440:250  | 5c1e,91bd |
      | 5c1e:800, 91bd:410 ,e440:250   | 5c1e,91bd |
      | 5c1e:800,91bd:,e440:250        | 5c1e,91bd |
      | x:y:z,5c1e:800,91bd,e440:250   | x,5c1e,91bd |
      | 5c1e:800,zz top:410,e440:250   | 5c1e,zz top |
      | 000:800,e440:250               | 0         |
      | e440:250                       |           |

  Scenario: The parts of a prompt may come in several header fields
    When a caller names the parts of its prompt in the fields "5c1e:800,91bd:410" and "e440:250"
    Then the shared parts are "5c1e,91bd"
