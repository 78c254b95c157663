Feature: Requests leave their failure domain only if that is worth their bytes
  Entries and gates run in virtual time. A KiB between domains costs 40 ms of waiting.
  Each worker runs 3 requests of 200 ms at once, so that it serves 15 a second.

  Scenario: traffic that varies by half with shifted phases is evened out between domains
    Given workers at the domains "a:4 b:4 c:4" and answers of 5000 bytes
    When each domain gets 60 requests a second, more or less by half in turn, for 40 s
    Then at least 90 percent are in time and at most 17 percent leave their domain

  # Guards against large answers that cross domains for a short wait.
  Scenario: downloads stay although traffic varies by half
    Given workers at the domains "a:2 b:2 c:2" and answers of 90000 bytes
    When each domain gets 30 requests a second, more or less by half in turn, for 40 s
    Then at most 0 percent leave their domain
    And each refusal tells when to retry

  # Guards against full domains that exchange requests without serving more.
  Scenario: domains that are equally overloaded exchange few requests
    Given workers at the domains "a:2 b:2 c:2" and answers of 5000 bytes
    When each domain gets 39 requests a second for 40 s
    Then at least 64 percent are in time and at most 6 percent leave their domain

  Scenario: workers that are spread unevenly serve all domains
    Given workers at the domains "a:2 b:4 c:6" and answers of 5000 bytes
    When each domain gets 48 requests a second for 40 s
    Then at least 99 percent are in time and at most 20 percent leave their domain

  # Guards against a price that keeps requests in a domain without workers.
  Scenario: a domain without workers is left at any price
    Given workers at the domains "a:0 b:4 c:4" and answers of 90000 bytes
    When each domain gets 30 requests a second for 10 s
    Then at least 99 percent are in time and at most 35 percent leave their domain

  # Guards against requests that stay away after the cause has ended.
  Scenario: requests return once the workers of their domain do
    Given workers at the domains "a:2 b:4 c:4" and answers of 90000 bytes
    When the workers of "a" cannot be reached for 5 s, at 20 requests a second
    Then until then at least 99 percent of the requests of "a" are in time
    And at most 1 percent of those that arrive 2 s later leave their domain

  # Guards against cold workers that count as free.
  Scenario: a cold domain is left for as long as its gates ask callers to wait
    Given workers at the domains "a:4 b:4 c:4" and answers of 5000 bytes
    And the workers of "a" are cold for 20 s and take 2 requests a second meanwhile
    When each domain gets 30 requests a second for 10 s
    Then at least 88 percent of the requests of "a" are in time

  # Guards against refusals of a cut-off domain as unreachable.
  Scenario: a partitioned domain serves what it can and refuses the rest for lack of capacity
    Given workers at the domains "a:2 b:4 c:4" and answers of 1500 bytes
    And "a" is cut off from the others
    When each domain gets 39 requests a second for 20 s
    Then requests are refused as "overloaded" or "retry_budget_spent" only
    And each refusal tells when to retry

  # Guards against entries that leave and return together.
  Scenario: entries with stale loads do not leave an overloaded domain all together
    Given workers at the domains "a:2 b:4 c:4" and answers of 1500 bytes
    When each domain gets 39 requests a second for 40 s
    Then in each second between 10 and 60 percent of the requests of "a" leave

  # Guards against requests that are refused since the workers of their domain, which
  # failed them a moment ago, count as present.
  Scenario Outline: workers that refused a request as <kind> are no reason to stay
    Given workers at the domains "a:2 b:4" and answers of 90000 bytes
    When both workers of "a" end a request of "a" as "<kind>" after 300 ms each
    Then the request <goes on>

    Examples:
      | kind               | goes on       |
      | nested_unavailable | goes to "b"   |
      | worker_failed      | goes to "b"   |
      | worker_lost        | goes to "b"   |
      | overloaded         | is refused    |
