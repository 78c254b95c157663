Feature: The worker client detects incomplete and invalid answers of a backend server

  Scenario Outline: an incomplete answer of a backend server is an error: <answer>
    Given a backend server that answers with <answer>
    When the gate sends it a request
    Then the request fails as "<kind>"

    Examples:
      | answer                              | kind        |
      | fewer bytes than its content-length | worker_lost |
      | chunks without the last one         | worker_lost |
      | nothing at all                      | worker_lost |
      | half a status line                  | worker_lost |
      | bytes that are not HTTP             | worker_lost |
      | headers without an end              | worker_lost |

  Scenario: a backend server that does not listen did not run the request
    Given no backend server
    When the gate sends it a request
    Then the request fails as "worker_unreachable"

  Scenario: the client opens no more connections than its limit
    Given a backend server that never answers
    When the gate sends one request more than it has connections
    Then the request fails as "worker_unreachable"
    And the backend server received no more connections than the limit

  Scenario: a connection that the backend server closed is not reused
    Given a backend server that closes the connection after each answer without notice
    When the gate sends two requests one after the other
    Then both are answered

  Scenario: a request that would break framing is not sent
    Given a backend server that answers every request
    When the gate sends it a request with a line break in a header
    Then the request fails as "request_invalid"
    And the backend server received no request
