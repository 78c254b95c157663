Feature: The circuit breaker limits requests to a worker that seems healthy but fails many

  Scenario: the breaker opens once half of the requests fail
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    Then it is open
    And requests that are not retryable are rejected
    And one retryable request is allowed each 500 ms

  Scenario: a few failures among many answers do not open the breaker
    Given a breaker in front of a worker
    When 20 runs end within 1000 ms and 4 of them fail
    Then it is closed

  Scenario: failures that follow a failed nested call do not count
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 8 of them fail after a nested call failed
    Then it is closed

  Scenario: the breaker closes once the worker answers again
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    And 3 allowed requests are answered
    Then it is closed

  # A service without retryable requests was refused for good after its workers failed.
  Scenario: the breaker closes again although no retryable request comes
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    Then one request that is not retryable is allowed each 2000 ms
    When the worker answers 3 such requests
    Then it is closed

  Scenario: the breaker stays open while the worker keeps failing
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    And 3 allowed requests fail
    Then it is open

  Scenario: an open breaker allows a request that has no other gate left
    Given a breaker in front of a worker
    When 10 runs end within 1000 ms and 5 of them fail
    Then a request that has no other gate left is allowed

  Scenario: the last gate that an entry tries runs the request although all workers fail
    Given an entry that may try 2 more gates after refusals that reached no worker
    When the gates refuse as "worker_failing"
    Then only the call to the last of 3 gates says that no other gate is left

  Scenario: requests are spread over the workers if none accepts requests
    Given an entry that knows 4 workers, none of which accepts requests
    When it chooses one of them 100 times
    Then each of them is chosen at least 10 times
