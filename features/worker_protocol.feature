Feature: The worker client accepts only answers that belong to its request

  Scenario Outline: <answer>
    Given a backend server whose answer is <answer>
    When the gate sends it a request with an id
    Then the request ends as "<outcome>"
    And the connection is <kept>

    Examples:
      | answer                               | outcome         | kept   |
      | signed and complete                  | body            | reused |
      | complete, but not signed             | answer_invalid  | closed |
      | signed, but its body is encoded      | answer_invalid  | closed |
      | for another request and then its own | body            | reused |
      | for another request only             | worker_lost     | closed |
      | followed by further bytes            | body            | closed |
      | followed by a second answer          | body            | closed |
      | a rejection                          | worker_rejected | reused |
      | a rejection of another request       | worker_lost     | closed |
      | from another instance                | worker_replaced | closed |
      | a failure of its own                 | failed          | reused |
      | complete, with "Connection: close"   | body            | closed |
      | without a length, ended by a close   | body            | closed |
      | without a length, ended by a reset   | worker_lost     | closed |

  Scenario: an early answer to a long body closes the connection
    Given a backend server that answers before it has read a body
    When the gate sends it a request with a body of 4000000 bytes
    Then the request ends as "body"
    And the connection is closed

  Scenario: the client keeps to the idle timeout that the backend server announces
    Given a backend server that keeps idle connections for 1 s
    When the gate sends two requests 900 ms apart
    Then each uses a connection of its own

  Scenario: a late answer is not mistaken for the answer to the next request
    Given a backend server that answers each request a second time with the next one
    When the gate sends 5 requests one after the other
    Then each request ends with the body of its own answer
