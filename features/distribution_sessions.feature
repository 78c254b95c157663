Feature: Versions and host updates reach every node despite failures
  Real distributors run in virtual time with seeded delays. A checker follows each
  session: the version of a host never decreases, also across restarts; no version
  is applied in part; no route points at a missing resource; all nodes reach the
  same verdict on a version; the platform gets at most 2,000 calls in any second.

  Scenario: the platform is down for an hour and comes back
    Given 18 nodes that gossip every 5 s in 6 failure domains of 3 regions, seed 1
    When the platform goes down
    And 1800 s pass
    And node "h00004" is killed
    And node "h00004" starts
    And 1800 s pass
    Then node "h00004" is ready with version 1
    When the platform comes back
    And a version is published
    Then all nodes have the newest version within the limit
    And no invariant was violated
    And the transcript equals the golden file "distribution_source_down"

  Scenario: all readers are killed at once and a version is published
    Given 60 nodes in 6 failure domains of 3 regions, seed 2
    When all readers are killed
    And a version is published
    Then all nodes have the newest version within the limit
    When all stopped nodes start
    And a version is published
    Then all nodes have the newest version within the limit
    And no invariant was violated
    And the transcript equals the golden file "distribution_readers_killed"

  Scenario: all nodes of a failure domain restart at once
    Given 120 nodes in 6 failure domains of 3 regions, seed 3
    When all nodes of "d01" are killed
    And a version is published
    And 2 s pass
    And all nodes of "d01" start
    Then all nodes have the newest version within the limit
    When 10 s pass
    Then no invariant was violated
    And the transcript equals the golden file "distribution_domain_restart"

  Scenario: regions are split while operators take a failure domain out
    Given 48 nodes in 6 failure domains of 3 regions, seed 4
    When region "r1" is cut off, and the platform with the others
    And operators take "d01" out
    And 180 s pass
    And the split heals
    Then all nodes have the newest version within the limit
    And all others know "h00001" as live
    And no invariant was violated
    And the transcript equals the golden file "distribution_split"

  Scenario: the platform is on the small side of a split
    Given 48 nodes in 6 failure domains of 3 regions, seed 5
    When region "r1" is cut off together with the platform
    And a version is published
    And 120 s pass
    And the split heals
    Then all nodes have the newest version within the limit
    And no invariant was violated
    And the transcript equals the golden file "distribution_split_source"

  Scenario: updates overtake each other
    Given 48 nodes in 6 failure domains of 3 regions, seed 6
    When 12 versions are published 7 ms apart
    Then all nodes have the newest version within the limit
    And no invariant was violated
    And the transcript equals the golden file "distribution_crossing"

  Scenario: the platform answers an older version while nodes restart
    Given 48 nodes in 6 failure domains of 3 regions, seed 7
    When 3 versions are published 500 ms apart
    And the platform answers version 2 again
    And all nodes of "d02" are killed
    And all nodes of "d02" start
    And 10 s pass
    Then all nodes have the newest version within the limit
    And node "h00002" is ready with version 4
    And no invariant was violated
    And the transcript equals the golden file "distribution_stale_source"

  Scenario: the platform answers half of a version
    Given 48 nodes in 6 failure domains of 3 regions, seed 8
    When the platform answers only half of the values
    And 2 versions are published 300 ms apart
    And 20 s pass
    And the platform comes back
    Then all nodes have the newest version within the limit
    And no invariant was violated
    And the transcript equals the golden file "distribution_half_source"

  Scenario: an invalid publication lies between two valid ones
    Given 48 nodes in 6 failure domains of 3 regions, seed 9
    When a version is published
    And 4 s pass
    And an invalid version is published
    And 4 s pass
    Then no node has version 3
    When a version is published
    Then all nodes have the newest version within the limit
    And no invariant was violated
    And the transcript equals the golden file "distribution_bad_version"

  Scenario: a split, a dead failure domain and a platform outage at once
    Given 48 nodes in 6 failure domains of 3 regions, seed 10
    When region "r2" is cut off, and the platform with the others
    And all nodes of "d00" are killed
    And a version is published
    And 1 s pass
    And the platform goes down
    And 60 s pass
    And all nodes of "d00" start
    And 30 s pass
    And the split heals
    Then all nodes have the newest version within the limit
    And no invariant was violated
    And the transcript equals the golden file "distribution_two_at_once"

  Scenario: a host leaves, dies and comes back
    Given 48 nodes in 6 failure domains of 3 regions, seed 11
    When node "h00007" leaves
    And 2 s pass
    Then all others know "h00007" as leaving
    When node "h00007" is killed
    And 90 s pass
    Then all others know "h00007" as gone
    When node "h00007" starts
    And 20 s pass
    Then all others know "h00007" as live
    And no invariant was violated
    And the transcript equals the golden file "distribution_host_leaves"

  Scenario: a paused node refreshes before it takes work
    Given 48 nodes in 6 failure domains of 3 regions, seed 12
    When node "h00009" is paused for 60 s
    And 1 s pass
    And 3 versions are published 500 ms apart
    And 57.5 s pass
    Then node "h00009" is not ready
    When 3 s pass
    Then node "h00009" is ready with version 4
    And no invariant was violated
    And the transcript equals the golden file "distribution_pause"

  Scenario: a whole failure domain dies and its hosts leave the lists
    Given 24 nodes that gossip every 5 s in 6 failure domains of 3 regions, seed 13
    When all nodes of "d03" are killed
    And 60 s pass
    Then all others know "h00003" as live
    When 2400 s pass
    Then all others know "h00003" as gone
    And no invariant was violated
    And the transcript equals the golden file "distribution_domain_dies"
