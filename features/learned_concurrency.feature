Feature: A gate learns up to how many requests at once its worker's throughput grows

  Scenario Outline: <case>: a worker whose latency does not depend on its concurrency keeps its slots
    Given a worker with 6 slots whose work takes <growth> times as long when all are used
    And it is slow for 3 s in every <slow_s> s, and the mix changes every <mix_s> s
    When it gets <load> times the requests that it can serve at most, for 90 s
    Then all slots are used in at least 97 percent of the last 60 s

    Examples:
      | case                      | growth | slow_s | mix_s | load |
      | calm load                 | 1.0    | 0      | 0     | 0.6  |
      | high load                 | 1.0    | 0      | 0     | 0.9  |
      | overload                  | 1.0    | 0      | 0     | 2.0  |
      | a worker slow at times    | 1.0    | 15     | 0     | 0.7  |
      | a mix of kinds in turn    | 1.0    | 0      | 10    | 0.7  |

  Scenario Outline: <case>: slots that add nothing to the throughput are left unused
    Given a worker with 6 slots whose work takes <growth> times as long when all are used
    And it is slow for 3 s in every <slow_s> s, and the mix changes every 0 s
    When it gets <load> times the requests that it can serve at most, for 90 s
    Then fewer than all slots are used in at least <percent> percent of the last 60 s
    And never fewer than 3 slots may be used
    And it serves at least <share> of what it serves with all slots in use

    Examples:
      | case                            | growth | slow_s | load | percent | share |
      | about ten requests a second     | 2.0    | 0      | 0.9  | 70      | 0.97  |
      | work that grows faster          | 3.0    | 0      | 0.9  | 70      | 0.97  |
      | a worker that is slow at times  | 2.0    | 15     | 0.9  | 60      | 0.97  |
      | a worker that is always full    | 2.0    | 0      | 2.0  | 0       | 0.97  |

  Scenario: a replaced worker starts with all slots
    Given a gatekeeper that has learned to use 3 of 6 slots
    When the platform lists another instance of its worker
    Then all 6 slots may be used

  # Guards against answers of the earlier instance that limit the new one.
  Scenario: a replaced worker: requests that the earlier instance ran tell nothing about the new one
    Given a gatekeeper that has learned to use 3 of 6 slots
    When the platform lists another instance of its worker
    Then requests that were sent before count neither for nor against it

  # Guards against a limit that outlives its cause.
  Scenario: high load: the limit grows again when the worker no longer slows down
    Given a gate's limit that has learned to use 3 of 6 slots
    When the worker stops slowing down, and 200 s pass
    Then all 6 slots may be used

  # Guards against short requests that are refused by the mean run time of all routes.
  Scenario: overload: a short request waits although long ones are usual
    Given a gate whose requests of route "/long" take 900 ms and of "/quick" 100 ms
    When all slots run "/long" for 850 ms and one of "/quick" with an objective of 600 ms arrives
    Then it waits

  # Guards against a worker that is avoided because a few long requests run.
  Scenario: overload: a worker does not seem slow because a few long requests run
    Given a gate whose requests of route "/long" take 900 ms and of "/quick" 100 ms
    When all slots run "/long" for 850 ms
    Then the gate reports that requests take 400 to 600 ms

  # Guards against a worker that joins and gets no requests.
  Scenario Outline: <load> times the capacity: a slow worker that joins gets requests within 4 s
    Given 30 workers of uneven speed whose load is <load> times their capacity
    When the slowest of them joins
    Then it gets requests within 4 s, but at most twice as many as the mean

    Examples:
      | load |
      | 0.3  |
      | 0.8  |
      | 1.3  |

  # Guards against a log line for each change of an unsteady limit.
  Scenario: an unsteady limit is logged at most once in 10 s
    Given a limit that changes between 3 and 6 of 6 slots each second, for 60 s
    Then at most 7 changes are logged, and none smaller than 2 slots
