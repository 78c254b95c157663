Feature: A node without processor time serves some requests in time

  Scenario: three times as many requests as the processor can handle
    Given a node that takes 10 ms to serve a request and 2 ms to refuse one
    When 300 requests a second arrive for 10 s, each of use for 1000 ms
    Then at least 30 a second are served in time
    And without refusals fewer than 15 a second are

  Scenario: a load that the processor can handle
    Given a node that takes 10 ms to serve a request and 2 ms to refuse one
    When 80 requests a second arrive for 10 s, each of use for 1000 ms
    Then none is refused

  Scenario: new requests are refused with a retry time, those of running work are not
    Given an entry whose loop runs 1000 ms late
    Then most of 200 new requests are refused as "overloaded" with a retry time
    And none of 200 requests of running work is

  Scenario: time in which a request waited to be read is taken off its deadline
    Given an entry whose loop runs 200 ms late
    Then a request of a caller that waits 800 ms has a deadline in 600 ms

  Scenario: a caller that left before its request was read is not served
    Given an edge whose loop runs 200 ms late
    When a request is sent whose caller leaves before the edge reads it
    Then the request is not served

  Scenario: a long pause counts for a moment only
    Given a loop that was paused for 4000 ms
    When it runs in time for 600 ms
    Then no new request is refused
