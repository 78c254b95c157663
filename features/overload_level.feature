Feature: Entries shed less urgent requests while a service refuses urgent ones
  Entries and gates run in virtual time. 12 workers serve 180 requests a second together;
  priority 0 is the most urgent.

  Scenario: burst of the least urgent at twice the capacity beside a load of 0.9
    Given 12 workers and requests of the priorities "0 1 2"
    When 90, 72 and 9 requests a second arrive for 25 s, and 360 of priority 2 from 5 to 15 s
    Then from 5 to 15 s at least 98 percent of priority 0 are in time
    And from 5 to 15 s more urgent ones are served at least as often as less urgent ones
    And from 5 to 15 s priority 2 gets at least a quarter of the mean share
    And fewer gates are asked than without a level
    And the entries act by levels that differ by at most 0.6 in the mean

  Scenario: steady overload of all kinds at twice the capacity
    Given 12 workers and requests of the priorities "0 1 2"
    When 120, 120 and 120 requests a second arrive for 25 s
    Then from 5 to 25 s at least 98 percent of priority 0 are in time
    And from 5 to 25 s more urgent ones are served at least as often as less urgent ones
    And from 5 to 25 s priority 2 gets at least a quarter of the mean share
    And from 5 to 25 s at least as many are in time as without a level
    And fewer gates are asked than without a level

  # Guards against less urgent requests that get nothing.
  Scenario: most of an overload is urgent: the others are not starved
    Given 12 workers and requests of the priorities "0 1 2"
    When 187, 24 and 24 requests a second arrive for 25 s
    Then from 5 to 25 s more urgent ones are served at least as often as less urgent ones
    And from 5 to 25 s priority 2 gets at least a quarter of the mean share

  # Guards against a level that oscillates after a burst.
  Scenario: the level is released after a burst and stays so
    Given 12 workers and requests of the priorities "0 1 2"
    When 20, 20 and 20 requests a second arrive for 25 s, and 340 of priority 1 from 2 to 10 s
    Then some entry sheds from 2 to 10 s
    And from 13 to 25 s no entry sheds
    And from 13 to 25 s at least 99 percent of priority 2 are in time

  # Guards against rejections of workers that count as lack of capacity.
  Scenario: a group of workers that rejects half of what it gets is no lack of capacity
    Given 12 workers and requests of the priorities "0 1 2"
    And the workers of domain "a" reject half of what they get
    When 36, 36 and 36 requests a second arrive for 20 s
    Then from 0 to 20 s no entry sheds

  Scenario: a service whose requests have one priority sheds nothing
    Given 12 workers and requests of the priorities "1"
    When 360 requests a second of one priority arrive for 10 s
    Then from 0 to 10 s no entry sheds

  # Guards against shedding by old reports, or by a single gate.
  Scenario: an entry that hears few gates does not act on old or single reports for long
    Given an entry that heard the level 2.0 of one gate and 0.0 of three
    Then it sheds half of what a level of 1 permits
    And 1500 ms later it sheds nothing

  # Guards against nested requests that are shed, and a log line for each change.
  Scenario: a node counts and logs what it sheds, and passes nested requests
    Given a node's entry for a service with routes of the priorities 0 and 2
    When gates report the level 1.0 and 200 requests of priority 2 and 200 of priority 0 arrive
    Then between 120 and 180 of priority 2 and none of priority 0 are shed
    And each refusal is "overloaded" and tells to return within 300 ms of 1200 ms
    And 200 nested ones of priority 2 pass
    And the metrics name the shed requests and the level
    And of 20 starts and ends of the level within 20 s at most 3 are logged

  Scenario: the level of a gate passes between nodes
    Given a load with the level 1.25
    Then the load is the same after it was sent to another node

  # Guards against shed requests that all return at once, or too late.
  Scenario: shed requests return one after the other within the time that callers have
    Given an entry that serves a request every 50 ms
    When 8 requests with 1200 ms left are shed at once
    Then they are told to return after "100 150 200 250 300 100 150 200" ms
