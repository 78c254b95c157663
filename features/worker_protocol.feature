Feature: Answers that are not the backend server's word on a request

  Scenario Outline: <answer>
    Given a backend server whose answer is <answer>
    When the gate sends it a request with an id
    Then the request ends as "<outcome>"
    And the connection is <kept>

    Examples:
      | answer                               | outcome         | kept       |
      | signed and whole                     | body            | used again |
      | whole, but not signed                | answer_invalid  | closed     |
      | signed, but its body is encoded      | answer_invalid  | closed     |
      | for another request and then its own | body            | used again |
      | for another request only             | worker_lost     | closed     |
      | followed by further bytes            | body            | closed     |
      | followed by a second answer          | body            | closed     |
      | a rejection                          | worker_rejected | used again |
      | a rejection of another request       | worker_lost     | closed     |
      | from another start                   | worker_replaced | closed     |
      | a failure of its own                 | failed          | used again |
      | whole, and it says that it closes    | body            | closed     |
      | without a length, ended by a close   | body            | closed     |
      | without a length, ended by a reset   | worker_lost     | closed     |

  Scenario: an early answer to a long body closes the connection
    Given a backend server that answers before it has read a body
    When the gate sends it a request with a body of 4000000 bytes
    Then the request ends as "body"
    And the connection is closed

  Scenario: an idle time that the backend server tells is kept to
    Given a backend server that keeps idle connections for 1 s
    When the gate sends two requests 900 ms apart
    Then each came on a connection of its own

  Scenario: a late answer stays on the connection that it belongs to
    Given a backend server that answers each request a second time with the next one
    When the gate sends 5 requests one after the other
    Then each request ends with the body of its own answer
