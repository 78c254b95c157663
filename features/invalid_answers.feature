Feature: An answer that is no valid HTTP reaches no caller

  # Guards against a status or a field's name that other clients than this one's take for
  # a valid answer: 999 was passed on.
  Scenario Outline: a worker sends <fault>
    Given a node whose worker sends <fault>
    When its caller sends a request that may run once only
    Then the caller gets no valid answer, but <result>

    Examples:
      | fault                                     | result |
      | status 000                                | 502    |
      | status 99                                 | 502    |
      | status 099                                | 502    |
      | status 600                                | 502    |
      | status 999                                | 502    |
      | a blank in a field's name                 | 502    |
      | a control byte in a field's name          | 502    |
      | such a name in an informational response  | 502    |
      | such a name in the trailers of its chunks | 502    |

  # Guards against the same from a gate of another version on another host.
  Scenario Outline: another node's gate sends <fault>
    Given a node that calls another node's gate, which sends <fault>
    When its caller sends a request that may run once only
    Then the caller gets no valid answer, but <result>

    Examples:
      | fault                            | result |
      | status 000                       | 502    |
      | status 99                        | 502    |
      | status 101                       | 502    |
      | status 999                       | 502    |
      | a blank in a field's name        | 502    |
      | a control byte in a field's name | 502    |
