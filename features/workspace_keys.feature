Feature: The table of workspaces' keys

  Scenario: each key leads to its workspace, and nothing else does
    Given the workspaces "a" with keys "k1 k2" and "b" with keys "k3"
    Then "k1" and "k2" belong to "a", and "k3" to "b"
    And no key like "k", "k11", "K1" or one of 300 bytes is known

  Scenario: a version adds, revokes and moves keys
    Given the workspaces "a" with keys "k1 k2" and "b" with keys "k3"
    When the workspaces become "a" with keys "k1 k3" and "b" with keys "k4"
    Then "k1" and "k3" belong to "a", and "k4" to "b"
    And "k2" is not known

  # Guards against hashing all keys again with each version.
  Scenario: a change of one workspace of 1000 hashes only its keys
    Given 1000 workspaces with 5 keys each
    When one of them gets another key
    Then 6 keys were hashed
    And every key is known

  # Guards against an error that shows a key.
  Scenario Outline: a bad workspace is refused: <fault>
    When a table is built from a workspace with <fault>
    Then it is refused because it "<reason>", and the error holds no key

    Examples:
      | fault                             | reason                          |
      | a key of another workspace        | has a key that 'other' has too  |
      | an empty key                      | that is empty                   |
      | a key of 257 bytes                | more than 256 bytes             |
      | a key of 129 characters, 258 bytes | more than 256 bytes             |
      | a key with a control byte         | a blank or a control character  |
      | a key with a blank                | a blank or a control character  |
      | a key with half a character       | a blank or a control character  |
      | a negative rate                   | rate_per_s of -1                |
      | a huge rate                       | rate_per_s of 1e+30             |
      | a rate that is no number          | rate_per_s of nan               |
      | a huge burst                      | burst of 1e+30                  |
      | a burst without a rate            | burst without a rate            |
      | a negative priority               | priority of -1                  |
      | a name that no header can carry   | name that is empty              |
      | a name given twice                | is given twice                  |

  # Guards against a caller that makes matching costly by a path of many slashes.
  Scenario: a long path costs no more than the longest route
    Given a snapshot whose longest route is "/a/b/"
    Then "/a/b/c" and "/a/b/" match "/a/b/", and "/a/bc" matches "/a"
    And matching a path of 8000 slashes looks at 11 prefixes at most
