Feature: Retries never multiply an overload and never run a request twice

  Scenario Outline: an overload below <levels> levels is not multiplied
    Given a call that goes through <levels> levels, each with 3 attempts
    When the lowest level refuses everything as overloaded
    Then at most <sends> requests are sent in total
    And the caller is advised not to retry

    Examples:
      | levels | sends |
      | 1      | 3     |
      | 5      | 7     |
      | 19     | 21    |

  Scenario: levels that retry error answers of their workers multiply an overload
    Given a call that goes through 5 levels, each with 3 attempts
    And levels that retry error answers of their workers
    When the lowest level refuses everything as overloaded
    Then more than 100 requests are sent in total

  Scenario: a service that refuses everything gets few retries
    Given an entry whose service refuses everything as overloaded
    When 1000 requests are made
    Then at most 110 of them are retried

  Scenario: which failed attempts are retried
    When an attempt ends, then the entry decides
      | kind             | class        | decision         |
      | overloaded       | at_most_once | retry            |
      | worker_lost      | idempotent   | retry            |
      | worker_lost      | bulk         | worker_lost      |
      | worker_lost      | at_most_once | outcome_unknown  |
      | peer_lost        | at_most_once | outcome_unknown  |
      | crash_suspect    | idempotent   | crash_suspect    |
      | deadline_not_run | idempotent   | deadline_not_run |

  Scenario: the only worker of a service is used although it refused recently
    Given an entry with 1 worker which refused as "overloaded" at 1000 ms
    Then at 1010 ms the entry still chooses it
    And the entry avoids it for longer after "draining" than after "overloaded"

  Scenario: a read that takes most of its timeout is awaited, not retried
    Given the "paddleworks" fleet with seed 6, warm
    When a read that takes 1700 ms of its route's timeout of 2000 ms is sent
    Then it is answered after one attempt
