Feature: Patterns of load that a gate and an entry answer without a network

  Scenario: burst on a full service: who cannot be served in time is refused at once
    Given a gate with 2 slots whose answers take 100 ms
    When 40 requests with an objective of 400 ms arrive at the same moment
    Then every request that is refused is refused at the moment of its arrival
    And every request that is admitted starts by 300 ms after its arrival
    And each refusal tells when room is expected

  Scenario: steady load above what a worker runs does not turn all answers late
    Given a gate with 4 slots whose answers take 100 ms
    When 80 requests a second with an objective of 400 ms arrive for 10 s
    Then at least 90 of 100 slots' worth of answers are in time
    And no request waits longer than 310 ms

  Scenario: a request that is late already takes only room that is left
    Given a gate with 1 slots whose answers take 100 ms
    When a request is offered 1 ms after its objective of 400 ms, with 1000 ms left
    Then it waits while nobody else does
    And it is refused behind 3 requests that wait

  Scenario: calls of running work go before new work
    Given a gate with 1 slots whose answers take 100 ms
    When a request runs and requests of priority 0, 1 and a nested one wait
    Then the freed slots go to the nested one, then to priority 0, then to 1

  Scenario: a more urgent request takes the place of a less urgent one in a full queue
    Given a gate with 1 slots and a queue of 1 whose answers take 10 ms
    When a request runs and one of priority 2 waits
    Then one of priority 1 takes its place
    And a further one of priority 2 is refused

  Scenario: a cold worker gets no more in any second than it bears
    Given a gate with 9 slots in front of a worker that is cold for 3000 ms and bears 16 a second
    When 60 requests a second that take 5 ms arrive for 3 s
    Then in no second are more than 18 sent to the worker
    And after that all are admitted at once

  Scenario: a worker that may have restarted unseen is taken as cold until it tells
    Given a gate with 9 slots in front of a warm worker that bears 16 a second when cold
    When the worker accepts connections again after it refused them
    Then it is taken as cold
    And once it tells that it is warm, all slots are used

  Scenario: an address that goes to another service takes no waiting request with it
    Given a gate with 1 slots in front of a warm worker that bears 16 a second when cold
    When a request runs, another waits and the address goes to another service
    Then the waiting request is refused as "not_ready" and was not sent

  Scenario: retries keep to the bound of any window, however the load changes
    Given a window of 10000 ms with a retry in 10 requests and 3 besides
    When 100 requests a second come for 10 s and each wants a retry
    Then at most 103 retries are granted in any window
    And after 30 s without requests at most 3 are granted

  Scenario: repeated runs are charged to the budgets of the services that they call
    Given a window of 10000 ms with a retry in 10 requests and 3 besides
    And runs that make 1.4 requests each
    When 20 runs are repeated and 100 requests of their service come
    Then no retry is granted

  Scenario: failures that workers report do not use up the budget of lost answers
    Given a window of 10000 ms with 12 retries in 100 requests, 3 of them after failures
    When 100 requests come and each is answered with a failure
    Then 3 retries are granted after failures and 9 more after lost answers

  Scenario: large answers stay near while the near worker has a short queue
    Given a near worker with all slots and half as many waiting, and an idle far one
    Then a request with a small answer goes far and one with a large answer stays near
    But behind a queue as long as its slots it goes far too

  Scenario: shares of a split follow their weights closely
    Given a route that is split 90 to 10
    When 300 requests are shared out
    Then the second service gets 28 to 32 of them

  Scenario: a gate that is full is passed over without cost, one that ran is not
    Given an entry that may ask 2 more gates after refusals that sent nothing on
    When the gates refuse as "overloaded"
    Then 3 gates are asked and no retry is spent
    When a worker rejects a request and the budget is spent
    Then 1 gates are asked and the caller hears "retry_budget_spent"
