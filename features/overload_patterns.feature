Feature: A gate and an entry under patterns of load, without a network

  Scenario: burst on a full service: requests that cannot be served in time are refused at once
    Given a gate with 2 slots whose answers take 100 ms
    When 40 requests with an objective of 400 ms arrive at the same moment
    Then every request that is refused is refused at the moment of its arrival
    And every request that is admitted starts by 300 ms after its arrival
    And each refusal says when to retry

  Scenario: steady overload does not make all answers late
    Given a gate with 4 slots whose answers take 100 ms
    When 80 requests a second with an objective of 400 ms arrive for 10 s
    Then at least 90 percent of the answers that the slots can give are in time
    And no request waits longer than 310 ms

  Scenario: a request past its objective is queued only while the queue is short
    Given a gate with 1 slots whose answers take 100 ms
    When a request is offered 1 ms after its objective of 400 ms, with 1000 ms left
    Then it is queued while no other request waits
    And it is refused behind 3 waiting requests

  Scenario: one worker is left: a request that waits behind others is refused while it can still be told
    Given a gate with 1 slots whose answers take 100 ms
    When a request with an objective of 400 ms and 300 ms left waits, and nested ones keep arriving
    Then it is refused as "queue_timeout" between 150 and 210 ms after its arrival

  Scenario: nested calls of running requests go before new requests
    Given a gate with 1 slots whose answers take 100 ms
    When a request runs, and requests of priority 0 and 1 and a nested one wait
    Then the freed slots go to the nested one, then to priority 0, then to 1

  Scenario: a more urgent request takes the place of a less urgent one in a full queue
    Given a gate with 1 slots and a queue of 1 whose answers take 10 ms
    When a request runs and one of priority 2 waits
    Then one of priority 1 takes its place
    And a further one of priority 2 is refused

  Scenario: a cold worker receives no more requests in any second than it can handle
    Given a gate with 9 slots in front of a worker that is cold for 3000 ms and handles 16 requests a second
    When 60 requests a second that take 5 ms arrive for 3 s
    Then in no second are more than 18 sent to the worker
    And after that all are admitted at once

  # Guards against a second in which a worker gets requests at the full rate until its
  # report is known, and at the cold rate for the rest of it.
  Scenario Outline: a busy worker turns cold, and the gate learns it <lag_ms> ms later
    Given a gate with 9 slots in front of a warm worker that handles 24 requests a second when cold
    When 50 requests a second that take 40 ms arrive for 4 s, and it is cold from 1000 ms on, as is known <lag_ms> ms later
    Then in no second while it is cold are more than 26 sent to the worker
    And it was sent at least 49 in the first second and 40 in the last two

    Examples:
      | lag_ms |
      | 0      |
      | 100    |
      | 300    |
      | 500    |

  Scenario: power lost by all: what a cold worker cannot take returns when it is warm
    Given a gate with 3 slots in front of a worker that is cold for 3000 ms and handles 4 requests a second
    When 20 requests a second that take 5 ms arrive for 3 s
    Then each request that was refused is told to return when the worker is warm

  Scenario: a worker that may have restarted unnoticed is treated as cold until it reports otherwise
    Given a gate with 9 slots in front of a warm worker that handles 16 requests a second when cold
    When the worker accepts connections again after it refused them
    Then it is treated as cold
    And once it reports that it is warm, all slots are available

  Scenario: an address that moves to another service receives no request that waited for the old one
    Given a gate with 1 slots in front of a warm worker that handles 16 requests a second when cold
    When a request runs, another waits and the address moves to another service
    Then the waiting request is refused as "not_ready" and was not sent

  Scenario: retries stay within the bound of any window, however the load changes
    Given a retry budget of 1 in 10 requests plus 3 in each window of 10000 ms
    When 100 requests a second arrive for 20 s and each needs a retry
    Then at most 103 retries are granted in any window
    And after 30 s without requests at most 3 are granted

  Scenario: retried runs are charged to the budgets of the services that they call
    Given a retry budget of 1 in 10 requests plus 3 in each window of 10000 ms
    And runs that make 1.4 requests each
    When 20 runs are retried and 100 requests arrive at the service that they call
    Then no retry is granted

  # Guards against other requests that use up a budget, so that a refused nested request
  # loses the work that its parent has done.
  Scenario Outline: <nested> of 100 requests of a service are nested, and all need a retry
    Given a retry budget of 12 in 100 requests, 12 of them after failures, and a window of 10000 ms
    When 100 requests arrive, <nested> of them nested, and the others are refused first
    Then others get <others> retries, nested requests get <granted>, and 12 at most in all

    Examples:
      | nested | others | granted |
      | 0      | 12     | 0       |
      | 10     | 10     | 2       |
      | 30     | 6      | 6       |
      | 100    | 0      | 12      |

  Scenario: retries after failures do not use up the budget for lost answers
    Given a retry budget of 12 in 100 requests, 3 of them after failures, and a window of 10000 ms
    When 100 requests arrive and each fails
    Then 3 retries are granted after failures and 9 more after lost answers

  Scenario: large answers stay near while the near worker has a short queue
    Given a near worker with 10 busy slots and 4 waiting requests, and an idle far one
    Then a request with a small answer goes far and one with a large answer stays near
    But behind a queue as long as its slots it goes far too

  Scenario: shares of a split follow their weights closely
    Given a route that is split 90 to 10
    When 300 requests are shared out
    Then the second service gets 28 to 32 of them

  Scenario: another gate after a full one costs no retry, after a worker's rejection it does
    Given an entry that may try 2 more gates after refusals that reached no worker
    When the gates refuse as "overloaded"
    Then 3 gates are tried and no retry is spent
    When a worker rejects a request and the budget is spent
    Then 1 gates are tried and the caller receives "retry_budget_spent"

  # Guards against a nested request that is refused for want of attempts although no worker
  # has got it, and against one that reaches more workers than its route allows.
  Scenario Outline: a <kind> request of 2 attempts is refused as "<refusal>"
    Given an entry that may try 2 more gates after refusals that reached no worker
    And a retry budget with 2 retry left
    When the gates refuse each <kind> request as "<refusal>"
    Then <count> gates are tried and the caller receives "<received>"

    Examples:
      | kind   | refusal         | count | received           |
      | nested | overloaded      | 5     | retry_budget_spent |
      | other  | overloaded      | 4     | overloaded         |
      | nested | worker_rejected | 2     | worker_rejected    |
      | other  | worker_rejected | 2     | worker_rejected    |

  Scenario: all workers of a service reject a share of their requests: a retry costs the budget once
    Given an entry that may try 1 more gates after refusals that reached no worker
    And a retry budget with 1 retry left
    And gates whose breakers are open
    When every worker rejects the request
    Then 2 requests reach a worker and the caller receives "retry_budget_spent"

  Scenario: many small workers: a request does not wait behind a busy worker while another gate is left to ask
    Given an entry that may ask 3 more gates, and 8 workers with 1 slot of which 5 are busy
    When a request arrives at the entry, in each of 200 draws
    Then each request starts at once at the first free gate that it asks
    And one that finds 4 gates busy waits at the last of them only
    And at least 90 percent of the requests start at once

  Scenario: the only worker of a service may let a request wait at once
    Given an entry that may ask 3 more gates, and 1 workers with 1 slot of which 1 are busy
    When a request arrives at the entry, in each of 1 draws
    Then it waits at the first gate that it asks

  Scenario: slow workers get fewer requests than fast ones
    Given 20 idle workers of which 7 take 500 ms for a request and the others 200 ms
    When 400 requests are placed
    Then at most 10 percent of them go to the slow ones

  Scenario: a worker that turns slow is recognized before its requests end
    Given a gate with 3 slots whose answers take 100 ms
    When 3 requests have run for 600 ms
    Then the gate reports that requests take at least 600 ms

  # Guards against an error of the node where a request waits at the entry, for a token of
  # a quota or since the node runs late, until its deadline has passed.
  Scenario: a request whose deadline has passed before it is sent is refused as not run
    Given an entry that may try 3 more gates after refusals that reached no worker
    When a request is to be sent 1 ms after its deadline
    Then no gate is asked and it is refused as not run in time
