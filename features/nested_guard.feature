Feature: Requests whose nested requests cannot be served are refused before they run

  # Guards against slots that are held by runs which can only fail, and against refusals
  # that lose more than they save.
  Scenario Outline: <share> of the nested requests of a route are not served
    Given a gate whose worker serves "/orders", which calls service "stock", and "/ping"
    When <share> of the requests to "stock" fail for 20 s
    Then between <least> and <most> of the requests to "/orders" run
    And all requests to "/ping" run
    And each refusal is a 503 that did not run, with a time to retry
    When all requests to "stock" are served for 10 s
    Then all requests to "/orders" of the last 5 s run

    Examples:
      | share | least | most |
      | 0.0   | 1.0   | 1.0  |
      | 0.2   | 1.0   | 1.0  |
      | 0.5   | 1.0   | 1.0  |
      | 1.0   | 0.08  | 0.35 |

  # Guards against a service that is refused for good, since refused requests call nothing.
  Scenario: the nested requests are served again after a pause without requests
    Given a gate whose worker serves "/orders", which calls service "stock", and "/ping"
    When 1.0 of the requests to "stock" fail for 20 s
    And there are no requests for 10 s
    And all requests to "stock" are served for 10 s
    Then all requests to "/orders" of the last 10 s run

  Scenario: a route that fails although its nested requests are served is not refused
    Given a gate whose worker serves "/orders", which calls service "stock", and "/ping"
    When the worker fails all requests to "/orders" for 20 s
    Then between 1.0 and 1.0 of the requests to "/orders" run

  # Guards against an entry and a gate that do not tell the guard of what it needs.
  Scenario: a node whose worker calls a service without workers
    Given a node whose worker calls a service without workers for each request
    When a caller from another address sends it 20 requests
    Then the first fail as the worker's own answer, and the last as "nested_unavailable"
