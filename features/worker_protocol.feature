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

  # Guards against a part of an answer that is taken as whole: the send of the rest of the
  # request took the error of the reset, and the following read saw an orderly end.
  Scenario Outline: an upload is answered early <framing>, then there is a <ending>
    Given a backend server that answers an upload early <framing>, then ends by a <ending>
    When the gate sends it a request with a body of 4000000 bytes
    Then the request ends as "<outcome>"

    Examples:
      | framing          | ending     | outcome     |
      | without a length | reset      | worker_lost |
      | without a length | close      | worker_lost |
      | without a length | half close | body        |
      | in chunks        | reset      | worker_lost |
      | with a length    | reset      | body        |

  Scenario Outline: bytes without end, until the gate closes the connection: <answer>
    Given a backend server whose answer is <answer>, without end
    When the gate sends it a request with an id
    Then the request ends as "<outcome>" within 2 s
    And the connection is closed

    Examples:
      | answer                              | outcome        |
      | a head                              | worker_lost    |
      | informational responses             | answer_invalid |
      | a rejection whose body goes on      | answer_invalid |
      | a rejection whose body stalls       | answer_invalid |
      | another request's answer            | answer_invalid |
      | a success with a chunk extension    | worker_lost    |
      | a success with trailers             | worker_lost    |

  Scenario: a worker writes an earlier refusal once more on a kept connection
    Given a backend server that rejects every other request, and repeats each rejection
    When the gate sends 6 requests one after the other
    Then the rejected requests end as "worker_rejected" and the others with their body

  Scenario Outline: an earlier rejection comes once more while the next request runs, <how>
    Given a backend server that repeats each rejection <how>
    When the gate sends 6 requests one after the other
    Then no request that ran ends as "worker_rejected"
    And those that ran end as "<outcome>"

    Examples:
      | how                       | outcome        |
      | in two pieces             | body           |
      | without an id             | body           |
      | twice                     | body           |
      | with "Connection: close"  | worker_lost    |
      | without a length          | answer_invalid |

  Scenario: a late copy of an answer is not taken for a health answer
    Given a backend server that answers each request a second time with the next one
    When the gate sends a request and then queries its health
    Then each request ends with the body of its own answer

  Scenario: a request without an id shares no connection with others
    Given a backend server whose answer is signed and complete
    When the gate sends a request without an id between two others
    Then it used 2 connections

  Scenario: a backend server whose connections are all in use is not down
    Given a backend server whose answer is signed and complete
    When all connections are in use and the gate checks that it is reachable
    Then it is reachable
