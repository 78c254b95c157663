Feature: Connections between nodes end only after what they carry has arrived

  # Guards against answers cut because a connection was closed before they were sent.
  Scenario Outline: an answer on its way arrives whole: <event>
    Given a gate whose answer is on its way to an entry that reads slowly
    When <event>
    Then the entry gets the whole answer before the connection ends

    Examples:
      | event |
      | the entry left the connection while the request ran |
      | the entry has left it and sends messages that the gate has not read |
      | the gate takes the entry for silent |

  # Guards against requests lost because they crossed the close of an idle connection.
  Scenario: a request that crosses an unanswered ping is answered
    Given a node with an idle connection to another node
    When the node takes the other one for silent while a request is on its way
    Then the request is answered

  # Guards against requests lost on a connection that was closed for a late hello.
  Scenario: a request is answered on a connection whose hello is late
    Given a node that connects to another one
    When the other node answers with a hello and a request only after 700 ms
    Then the request is answered

  # Guards against requests that are sent on a connection which the peer no longer reads.
  Scenario: no request is sent on a connection that the other node leaves at once
    Given a node that connects to another one
    When the other node answers with a hello and leaves the connection
    Then the node does not use the connection

  # Guards against requests lost because a stopping node closed the connection.
  Scenario: requests that cross a node's planned stop are answered or refused
    Given one running node of "examples/kalnins"
    When another node sends requests until the node's planned stop ends the connection
    Then none of the requests is left without an answer or a refusal
