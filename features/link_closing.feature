Feature: Connections between nodes end only after what they carry has arrived

  # Guards against answers cut because a connection was closed before they were sent.
  Scenario Outline: an answer on its way arrives whole: <event>
    Given a gate whose answer is on its way to an entry that reads slowly
    When <event>
    Then the entry gets the whole answer before the connection ends

    Examples:
      | event |
      | the entry left the connection while the request ran |
      | the gate takes the entry for silent |
