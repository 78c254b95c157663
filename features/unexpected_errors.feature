Feature: One malformed message or unexpected error does not end the process

  Scenario Outline: health answers that report <value> as the cold time
    Given a node whose backend server reports <value> as its cold time
    When its health is checked
    Then the check ends without an error, and the backend server is <state>

    Examples:
      | value            | state |
      | nothing          | warm  |
      | 60000            | cold  |
      | 5000 nines       | warm  |
      | the letter z     | warm  |

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

  Scenario: an error in a timer's callback ends neither the timers nor the process
    Given a node's timers with a callback that fails and one that counts
    When 10 periods pass
    Then both were called 10 times, and 10 errors were counted

  Scenario: an error in a task ends that task only
    Given a node's supervisor
    When a task fails while another one runs
    Then the other one ends normally, and 1 error is counted

  Scenario: a task that the node needs is restarted
    Given a node's supervisor
    When a task that the node needs fails 2 times
    Then it runs again, and 2 errors are counted

  Scenario: two requests with the same id at one gate
    Given a gate whose backend server has one slot
    When two requests with the same id arrive at once, and a third one after them
    Then each of the three is answered

  # The list of hosts may name an address that is none: each request that chose the host
  # failed as an internal error, and tasks ended.
  Scenario Outline: a host with the address "<address>" cannot be reached
    When a node connects to a host with the address "<address>"
    Then the attempt ends as "peer_unreachable"

    Examples:
      | address               |
      | 127.0.0.1:0           |
      | 127.0.0.1:65536       |
      | 127.0.0.1:99999999999 |
      | 127.0.0.1:            |
      | nowhere               |
      | a..b:1                |
