Feature: A gate counts crashes by request, and refuses requests that crash workers

  # Guards against answers to one caller that clear the request of another one, which is
  # equal but for its caller, and against refusing both for the crashes of one.
  Scenario Outline: the request of one caller crashes workers while <other>
    Given a table of crashes
    When <other>
    And the request of caller "a" crashes 2 workers
    Then the request of caller "a" is refused
    And the request of caller "b" is allowed

    Examples:
      | other                                                   |
      | the request of caller "b" is answered                   |
      | the request of caller "b" is answered 200 s before      |
      | nobody else sends it                                    |
      | the request of caller "b" runs at one of them           |

  # Guards against two crashes for each caller of a request that crashes workers whoever
  # sends it.
  Scenario: a request crashes workers whoever sends it
    Given a table of crashes
    When the request of caller "a" crashes 1 workers
    And the request of caller "b" crashes 1 workers
    Then the request of caller "a" is refused
    And the request of caller "b" is refused
    And the request of caller "c" is refused
    And another request of caller "a" is allowed

  Scenario: an answer clears the crashes of its request
    Given a table of crashes
    When the request of caller "a" crashes 1 workers
    And the request of caller "a" is answered
    And 20 s go by for the table
    And the request of caller "a" crashes 1 workers
    Then the request of caller "a" is allowed

  Scenario: crashes are forgotten after a while
    Given a table of crashes
    When the request of caller "a" crashes 2 workers
    And 301 s go by for the table
    Then the request of caller "a" is allowed

  # Guards against a table that grows with the callers, or the requests, of a flood.
  Scenario Outline: <count> requests crash workers, each by another <part>
    Given a table of crashes
    When <count> requests that differ in their <part> crash a worker
    Then the table holds at most <limit> of them
    And the last of them is refused once it has crashed another worker

    Examples:
      | count | part    | limit |
      | 3000  | path    | 1000  |
      | 3000  | caller  | 16    |
