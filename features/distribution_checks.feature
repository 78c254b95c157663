Feature: The invariant checks of distribution sessions can fail
  Each check detects a wrong decision that the test injects.

  Scenario Outline: the checker detects <violation>
    Given distributors in which <wrong decision>
    When a session with rapid versions, a stale platform and a split runs
    Then the checker reports "<violation>"

    Examples:
      | violation                   | wrong decision                      |
      | version decreased           | an older version replaces a newer   |
      | partly applied              | a service is left out               |
      | route to a missing resource | a routed service is left out        |
      | different verdicts          | every second node accepts anything  |
      | source calls over the limit | every node reads without a limit    |
      | not converged               | nothing is repaired                 |

  Scenario: the same session without a wrong decision
    Given distributors in which no decision is wrong
    When a session with rapid versions, a stale platform and a split runs
    Then no invariant was violated
