Feature: A worker that fails many requests while its health is good gets fewer

  Scenario: requests go elsewhere once a worker fails half of what it is sent
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    Then it is open
    And requests that must not be repeated are turned away
    And one request that may be repeated is let through each 500 ms

  Scenario: a few failures among many answers change nothing
    Given a breaker in front of a worker
    When 20 runs end within 1000 ms and 4 of them fail
    Then it is closed

  Scenario: failures that a failed call explains do not count
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 8 of them fail after a call of theirs failed
    Then it is closed

  Scenario: it closes once the worker answers again
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    And 3 requests that are let through are answered
    Then it is closed

  Scenario: it stays open while the worker goes on failing
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    And 3 requests that are let through fail
    Then it is open

  Scenario: a request that no other worker takes is let through
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    Then a request that insists is let through

  Scenario: with all workers of a service failing alike the last gate asked runs it
    Given an entry that may ask 2 more gates after refusals that sent nothing on
    When the gates refuse as "worker_failing"
    Then the last of 3 gates is told that no other takes the request

  Scenario: failing workers are not chosen by their names
    Given an entry that knows 4 workers which take no work for now
    When it has to choose one of them 100 times
    Then each of them is chosen at least 10 times
