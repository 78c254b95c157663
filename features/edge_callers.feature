Feature: The edge enforces its limits and answers callers

  Scenario Outline: a caller's request that breaks a limit is refused: <request>
    Given an edge with small limits
    When a caller sends <request>
    Then it is refused with status <status> and kind "<kind>", counted, and not run

    Examples:
      | request                                | status | kind             |
      | too many header bytes in one packet    | 431    | header_too_large |
      | header bytes without an end            | 431    | header_too_large |
      | too many headers                       | 431    | header_too_large |
      | a target that is too long              | 414    | target_too_long  |
      | a body that is too large               | 413    | body_too_large   |
      | a chunked body that is too large       | 413    | body_too_large   |
      | content-length and transfer-encoding   | 400    | request_invalid  |
      | two different content-lengths          | 400    | request_invalid  |
      | a content-length that is not a number  | 400    | request_invalid  |
      | a transfer-encoding other than chunked | 400    | request_invalid  |
      | a space before the colon of a header   | 400    | request_invalid  |
      | no host header                         | 400    | request_invalid  |
      | a CONNECT request                      | 400    | request_invalid  |
      | bytes that are not HTTP                | 400    | request_invalid  |
      | headers that never end                 | 408    | caller_too_slow  |
      | a body that never ends                 | 408    | caller_too_slow  |

  Scenario: pipelined requests are answered one after another
    Given an edge with small limits
    When a caller sends three requests in one packet
    Then the answers come in the same order, each to its own request

  Scenario: a connection above the limit is refused, and a closed one makes room
    Given an edge with small limits
    When more callers connect than the limit allows
    Then the last one is refused with kind "too_many_connections"
    And after a caller has disconnected, another one is served

  Scenario: a caller that reads nothing does not hold its request forever
    Given an edge whose entry sends an endless answer
    When a caller sends a request and reads nothing
    Then the request ends and is counted as "caller_too_slow"

  Scenario: a caller that disconnects ends its request
    Given an edge whose entry never answers
    When a caller sends a request and closes its connection
    Then the request ends and is counted as "cancelled"

  Scenario Outline: a truncated answer does not look complete: <framing>
    Given an edge whose entry truncates an answer framed by <framing>
    When a caller reads that answer
    Then the caller can detect that it is incomplete

    Examples:
      | framing                                |
      | a content-length                       |
      | chunks                                 |
      | a connection close                     |
      | a length that is too long for its body |

  # Guards against a cut answer that the log shows as if its caller had left.
  Scenario: a truncated answer is logged with its cause
    Given an edge whose entry truncates an answer framed by chunks
    And a recorded log
    When a caller reads that answer
    Then the log says that an answer was cut because of "peer_lost"

  # Guards against answers without a length that look complete when the node's end cuts them.
  Scenario: an answer that the node's end cuts off does not look complete
    Given an edge whose entry sends an endless answer
    When the node ends while a caller reads an answer that ends with its connection
    Then that connection is reset

  # Guards against refusing a request as too slow because it began late on an idle connection.
  Scenario: a request that begins just before the idle limit has the time of any other
    Given an edge that closes idle connections after 1000 ms
    When a caller begins its second request after 700 ms and ends it 700 ms on
    Then both requests are answered

  Scenario: an unexpected error in the entry ends one request only
    Given an edge whose entry fails unexpectedly
    When a caller sends two requests
    Then both are answered with kind "internal_error" and the failures are counted
