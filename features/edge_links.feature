Feature: Connections between nodes under faults

  Scenario Outline: a peer that breaks the protocol loses its connection only: <fault>
    Given two nodes with a connection between them
    When the peer sends <fault>
    Then the connection closes, and the fault is counted as "<kind>"
    And a new connection to the same node works

    Examples:
      | fault                                 | kind            |
      | a frame whose checksum is wrong       | frame_invalid   |
      | a frame that is longer than the limit | frame_too_large |
      | an unknown message                    | frame_invalid   |
      | two messages in one frame             | frame_invalid   |
      | a message without a required field    | frame_invalid   |
      | a truncated message                   | frame_invalid   |
      | two requests with the same stream id  | frame_invalid   |
      | credit beyond the limit               | credit_overrun  |
      | an unknown host state                 | frame_invalid   |
      | a list nested 5000 levels deep        | frame_invalid   |

  Scenario Outline: a gate whose answer breaks the protocol loses its connection: <fault>
    Given a node that has sent a request to a gate
    When the gate answers with <fault>
    Then the request fails as "peer_lost" without a complete answer
    And the fault is counted as "<kind>"

    Examples:
      | fault                              | kind           |
      | more chunks than it has credit for | credit_overrun |
      | a chunk before the start           | frame_invalid  |
      | two starts                         | frame_invalid  |

  Scenario: an answer to an abandoned request is counted and dropped
    Given a node that has sent a request to a gate
    When the request is abandoned, and the gate answers it late and another one in time
    Then the late answer is counted and the other one arrives

  Scenario: the connection to a silent peer is closed while a request waits
    Given a node that has sent a request to a gate
    When the gate sends nothing for several ticks
    Then the request fails as "peer_lost" without a complete answer
    And the connection was closed with reason "peer_unresponsive"

  Scenario: the connection to a peer that only answers pings is kept
    Given a node that has sent a request to a gate
    When the gate answers pings for many ticks, and then the request
    Then the answer arrives

  Scenario: an unexpected error in a request ends that request only
    Given two nodes with a connection between them
    When a request at the other node fails unexpectedly
    Then it is refused as "internal_error" and the next request is answered

  Scenario: two nodes that send each other large requests at once do not deadlock
    Given two nodes with a connection between them
    When both send many large requests at the same time
    Then all of them are answered

  Scenario: a large answer to a slow reader is buffered only up to the credit
    Given two nodes with a connection between them
    When an answer of 64 MB is read slowly
    Then the chunks in flight never exceed the credit

  Scenario: no payload crashes the decoder, hangs it or makes it allocate without bound
    When ten thousand payloads, random and damaged, are decoded
    Then each decodes to one message or raises a wire error

  Scenario: an idle connection closes at both nodes without losing a request
    Given two nodes with a connection between them
    When it is idle for 31 s while the other node sends a last request
    Then that request is answered and both ends are closed
