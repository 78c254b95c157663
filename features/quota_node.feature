Feature: Quotas of workspaces between nodes that are connected

  # Guards against tokens that are not passed on between nodes, and against a request
  # without a quota that is held up by one.
  Scenario: three entries share a quota of 20 requests a second
    Given three connected nodes and a workspace "acme" with 20 requests a second and a burst of 10
    When its requests arrive at 60 a second at all entries for 5 s, once its home serves
    Then at least 0.9 of what the rate allows are admitted, and at most what a full bucket allows too
    And each other one is answered 429 "over_quota" with a time to retry of at most 5 s
    And requests without a workspace, and nested ones, are not refused for a quota
    And the admin page of an entry shows the quota, its home and the demand

  # Guards against quota that is lost with requests that did not run.
  Scenario: a request that was refused without having run gives its token back
    Given three connected nodes and a workspace "acme" with 1 requests a second and a burst of 1
    When 20 requests arrive within 1 s at an entry without a worker to call
    Then none of them is answered "over_quota"

  # Guards against an error of the node where the time to wait has passed already.
  Scenario: a request waits for tokens at an entry that runs late
    Given three connected nodes and a workspace "acme" with 20 requests a second and a burst of 10
    When 20 requests arrive at an entry whose clock moves by 150 ms at each reading
    Then each of them is admitted or answered 429 "over_quota"

  # Guards against a workspace that stays without tokens after its home has left.
  Scenario: the home leaves and the next one takes over at once
    Given three connected nodes and a workspace "acme" with 20 requests a second and a burst of 10
    When the home leaves the host list, once it serves
    Then another node grants tokens within 1 s

  # Guards against a request that fails, and counts as waiting for good, since the event
  # loop was held up until its wait for the home's answer had ended.
  Scenario: the event loop is held up while a request waits for its home
    Given three connected nodes and a workspace "acme" with 20 requests a second and a burst of 10
    When the event loop of an entry is held up for 150 ms after it asked the home
    Then the request is decided and none counts as waiting

  # Guards against two homes at once: a host that vanished from the list may still serve.
  Scenario: the home vanishes from the host list but does not notice
    Given three connected nodes and a workspace "acme" with 20 requests a second and a burst of 10
    When the home vanishes from the others' host list and hears nothing of them
    Then no other node grants tokens within 2.5 s, and one does within 3.5 s

  # Guards against tokens of a process that was stopped while another became the home.
  Scenario: the home is paused
    Given three connected nodes and a workspace "acme" with 20 requests a second and a burst of 10
    When the process of the home is paused for 1500 ms
    Then it grants no tokens at once, but within 3 s

  # Guards against two homes that grant more than the whole rate together after a
  # partition has ended, which one of them learns first.
  Scenario: the store is reached again after a partition
    Given three connected nodes and a workspace "acme" with 20 requests a second and a burst of 10
    When a home that reached half of the fleet reaches the store again
    Then it counts on half of the fleet for 3 s, and then on all of it
