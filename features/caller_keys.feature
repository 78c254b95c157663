Feature: Callers identify their workspace by a key

  # Guards against a request that is served without a valid key, a caller that names a
  # workspace itself, and a key that reaches the worker, an answer, the log or a metric.
  # h11 quotes a line that is not HTTP in its error.
  Scenario Outline: the <sender> sends <headers> to <path>
    Given a node whose workspace "acme" has the key "hush-1"
    When the <sender> sends a request to "<path>" with "<headers>"
    Then the answer is "<answer>", and the worker gets the workspace "<workspace>"
    And no answer, log line or metric holds "hush"

    Examples:
      | sender | path  | headers                                                   | answer                                                                 | workspace |
      | caller | /a    | Authorization: Bearer hush-1                              | 200                                                                    | acme      |
      | caller | /a    | authorization: bearer  hush-1\r\nCaller-Workspace: other  | 200                                                                    | acme      |
      | caller | /a    | Authorization: Bearer hush-1\r\ncaller_workspace: other   | 200                                                                    | acme      |
      | caller | /a    | Accept: */*                                               | unauthenticated: the request has no key                                | -         |
      | caller | /a    | Authorization: Bearer hush-2                              | unauthenticated: the key is not known                                  | -         |
      | caller | /a    | Authorization: Bearer hush-1 hush-1                       | unauthenticated: the key is not known                                  | -         |
      | caller | /a    | Authorization: Bearer                                     | unauthenticated: the request has no single bearer key of valid length  | -         |
      | caller | /a    | Authorization: Basic hush-1                               | unauthenticated: the request has no single bearer key of valid length  | -         |
      | caller | /a    | Authorization: Bearer hush-1\r\nAuthorization: Bearer x   | unauthenticated: the request has no single bearer key of valid length  | -         |
      | caller | /a    | Authorization: Bearer LONG                                | unauthenticated: the request has no single bearer key of valid length  | -         |
      | caller | /a    | Authorization : Bearer hush-1                             | request_invalid: illegal header line                                   | -         |
      | caller | /open | Accept: */*\r\nCaller-Workspace: other                    | 200                                                                    | none      |
      | caller | /open | Authorization: Bearer hush-2                              | 200                                                                    | none      |
      | caller | /open | Authorization: Bearer hush-1                              | 200                                                                    | acme      |
      | worker | /a    | Caller-Workspace: other                                   | 200                                                                    | none      |
      | worker | /a    | Authorization: Bearer hush-1                              | 200                                                                    | acme      |
      | worker | /a    | Authorization: Bearer hush-2                              | unauthenticated: the key is not known                                  | -         |

  Scenario: nodes without workspaces or without a configuration, and another version
    Given a node without workspaces
    When the caller sends a request to "/a" with "Authorization: x\r\nCaller-Workspace: y"
    Then the worker gets no workspace and the authorization "x"
    And explanations of "/a" and "/open" say that a key is "not needed" and "not needed"
    Given a node without a configuration
    When the caller sends a request to "/a" with "Authorization: Bearer hush-1"
    Then the answer is "not_ready: starting", and the worker gets the workspace "-"
    Given a node whose workspace "acme" has the key "hush-1"
    Then explanations of "/a" and "/open" say that a key is "needed" and "not needed"
    When version 2 gives the key "hush-2" to "acme"
    And the caller sends a request to "/a" with "Authorization: Bearer hush-1"
    Then it is refused by version 2 because "the key is not known"
    When the caller sends a request to "/a" with "Authorization: Bearer hush-2"
    And the caller sends a request to "/open" with "Accept: */*"
    Then the gate got priority 7 of "acme" and then priority 3 of ""

  # Guards against wrong keys that take time from callers with a valid one.
  Scenario: a flood of wrong keys
    Given a node whose workspace "acme" has the key "hush-1"
    When 2000 requests with wrong keys and 20 with the right key are sent
    Then the 2000 are refused before the worker, and the 20 are answered

  # Guards against a revoked key that is accepted, and a new one that gets a final refusal,
  # by a node that is out of contact with the store.
  Scenario Outline: a configuration that was confirmed <age_ms> ms ago, and <headers>
    Given a node whose workspace "acme" has the key "hush-1"
    And its configuration must be confirmed each 5000 ms, was <age_ms> ms ago
    When the caller sends a request to "<path>" with "<headers>"
    Then the answer is "<answer>", and the worker gets the workspace "<workspace>"

    Examples:
      | age_ms | path  | headers                      | answer                                  | workspace |
      | 4400   | /a    | Authorization: Bearer hush-1 | 200                                     | acme      |
      | 4500   | /a    | Authorization: Bearer hush-1 | config_unconfirmed: the node            | -         |
      | 4500   | /a    | Authorization: Bearer hush-2 | config_unconfirmed: the node            | -         |
      | 4500   | /a    | Accept: */*                  | unauthenticated: the request has no key | -         |
      | 4500   | /open | Authorization: Bearer hush-1 | 200                                     | none      |

  # Guards against a final refusal of a key that the node has, but has yet to decode.
  Scenario Outline: a later configuration is being decoded, and <headers>
    Given a node whose workspace "acme" has the key "hush-1"
    And it is decoding a later configuration
    When the caller sends a request to "/a" with "<headers>"
    Then the answer is "<answer>", and the worker gets the workspace "<workspace>"

    Examples:
      | headers                      | answer                                  | workspace |
      | Authorization: Bearer hush-1 | 200                                     | acme      |
      | Authorization: Bearer hush-2 | config_unconfirmed: the node            | -         |
      | Accept: */*                  | unauthenticated: the request has no key | -         |
