Feature: An answer that a worker breaks off reaches no caller as a whole one

  # A worker stopped in the middle of its answer's head and closed: callers got a 200
  # with an empty or short body, framed as whole.
  Scenario Outline: an answer with <framing>, cut after each of its bytes by a <ending>
    Given a node whose worker answers with <framing>
    When its worker cuts the answer to a "<method>" request after each byte by a <ending>
    Then only the whole answer reaches the caller as a success
    And each request reached the worker

    Examples:
      | method | framing                       | ending |
      | GET    | a length                      | close  |
      | GET    | a length                      | reset  |
      | GET    | bare line feeds               | close  |
      | GET    | chunks                        | close  |
      | GET    | chunks                        | reset  |
      | GET    | an informational answer first | close  |
      | GET    | no body                       | close  |
      | HEAD   | a length                      | close  |

  # Guards against the same where only the connection's end tells the body's end.
  Scenario Outline: an answer without a length, cut within its head by a <ending>
    Given a node whose worker answers with neither length nor body
    When its worker cuts the answer to a "GET" request after each byte by a <ending>
    Then the caller gets a success for <count> of them
    And each request reached the worker

    Examples:
      | ending | count |
      | close  | 1     |
      | reset  | 0     |
