Feature: A backend server that sends bytes without end harms no other request

  # Guards against a node that keeps all bytes of an answer that does not end, runs out of
  # memory and ends with the requests of all its callers.
  Scenario Outline: 12 requests whose answers are <bytes>, without end
    Given a node whose backend server answers with <bytes>, and one that calls it
    When 12 callers send it requests for 2 s, of which 6 read nothing, beside others
    Then no node has taken more than 150 MB of memory
    And all other requests are answered
    And the nodes end by a planned stop only

    Examples:
      | bytes                    |
      | bytes that are no answer |
      | a header                 |
      | informational answers    |
      | a body with a length     |
      | a body in chunks         |
      | a body without a length  |
      | bytes behind an answer   |
