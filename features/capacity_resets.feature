Feature: A worker that resets connections at capacity keeps its requests

  # Guards against a breaker that opens, and requests that are held to crash workers,
  # because the worker takes fewer requests at once than the configuration says.
  Scenario Outline: a worker with <slots> slots resets beyond <capacity> requests at <rate>/s
    Given a gate with <slots> slots in front of a worker that resets beyond <capacity>
    When <rate> requests a second arrive for 20 s
    Then at most <lost> requests are lost, of which <late> in the last 10 s
    And the breaker never opened, and no request is held to crash workers
    And the worker ran at least <share> of what it can run

    Examples:
      | slots | capacity | rate | lost | late | share |
      | 10    | 4        | 30   | 5    | 1    | 0.9   |
      | 10    | 4        | 100  | 10   | 1    | 0.9   |
      | 7     | 6        | 80   | 5    | 1    | 0.9   |
      | 7     | 1        | 30   | 10   | 1    | 0.9   |

  # Guards against a limit that outlives its cause.
  Scenario: the worker takes more requests again
    Given a gate with 10 slots in front of a worker that resets beyond 4
    When 100 requests a second arrive for 10 s
    And the worker takes 10 requests at once
    And 100 requests a second arrive for 30 s
    Then no limit is known

  # Guards against a limit that stays for good, as no request may probe beyond it.
  Scenario: the worker of a service without repeatable requests takes more again
    Given a gate with 10 slots in front of a worker that resets beyond 4
    And its requests may run once only
    When 60 requests a second arrive for 10 s
    And the worker takes 10 requests at once
    And 60 requests a second arrive for 50 s
    Then the limit is 4
    When 60 requests a second arrive for 60 s
    Then no limit is known

  # Guards against a breaker that takes each loss of a failing worker for one at capacity.
  Scenario Outline: a worker that resets <share> of its requests at any load is failing
    Given a gate with 10 slots in front of a worker that resets a share of <share>
    When <rate> requests a second arrive for 10 s
    Then the breaker opened

    Examples:
      | share | rate |
      | 0.5   | 40   |
      | 0.5   | 100  |
      | 1.0   | 10   |
      | 1.0   | 100  |

  Scenario: a crash is no reset at capacity
    Given a gate with 10 slots in front of a worker that resets beyond 10
    When 30 requests a second arrive for 5 s
    And the worker crashes and is found down 200 ms later
    Then the lost requests are suspects, and no limit is known

  Scenario: another instance starts without what was learned
    Given a gate with 10 slots in front of a worker that resets beyond 4
    When 100 requests a second arrive for 10 s
    And the platform lists another instance
    Then no limit is known
