Feature: An answer that has started ends with the timeout of its request

  # Guards against a caller that waits for the rest of an answer for as long as the
  # connection between two nodes holds, whatever its route's timeout.
  Scenario Outline: an answer of class <class> whose gate <rest>
    Given a route of class "<class>" with a timeout of 600 ms to another node
    When its gate starts an answer and <rest>
    Then the caller has the end of a broken answer 600 to 1100 ms after its request
    And the gate is told that the request has ended

    Examples:
      | class          | rest                                   |
      | idempotent     | sends nothing more                     |
      | idempotent     | sends a chunk each 50 ms without end   |
      | bulk           | sends nothing more                     |
      | bulk           | sends a chunk each 50 ms without end   |
      | non_idempotent | sends nothing more                     |

  # Guards against ready answers that are thrown away.
  Scenario Outline: an answer of class <class> whose gate <rest>
    Given a route of class "<class>" with a timeout of 600 ms to another node
    When its gate starts an answer and <rest>
    Then the caller gets the whole answer

    Examples:
      | class          | rest                        |
      | idempotent     | sends the rest after 300 ms |
      | idempotent     | sends the rest after 700 ms |
      | bulk           | sends the rest after 700 ms |
      | non_idempotent | sends the rest after 700 ms |

  Scenario: an answer that has not started in time
    Given a route of class "idempotent" with a timeout of 600 ms to another node
    When its gate starts no answer
    Then the caller is refused with 504 600 to 1100 ms after its request
    And the gate is told that the request has ended
