Feature: The parts of configuration distribution keep their limits

  Scenario: all nodes of the planned fleet call the platform at once
    Given 12000 nodes in 24 failure domains that request calls without pause
    When 30 s pass for the rate limiters
    Then the platform got at most 2000 calls in its worst second

  Scenario: full token buckets at all nodes would exceed the limit
    Given 12000 nodes with a full token bucket each
    When 30 s pass for the rate limiters
    Then the platform got more than 2000 calls in its worst second

  Scenario: hostile and damaged values are refused with an error kind
    Given a valid publication
    When 3000 damaged copies of it are offered, seed 1
    Then each was refused with an error kind or is a whole configuration

  Scenario: refused versions are remembered up to a limit and block nothing
    Given a valid publication
    When 300 invalid versions are offered
    Then at most 64 refusals are remembered
    And the valid publication is accepted

  Scenario: an equal version with another root is refused and counted once
    Given two distributors with version 5 of different content
    When each receives the other's version 3 times
    Then each refused it once as "version_conflict"

  Scenario: snapshot transfers are bounded
    Given a distributor with a version in force and 10 peers
    When 50 peers pull the whole version in the same second
    Then at most 4 got it, and the others got a retry time and another address

  Scenario: a change carries only what changed and is verified
    Given a distributor with a version in force and 10 peers
    When a version with one changed service is applied
    Then the change passed on holds 1 value and no shard
    And a peer with the version before rebuilds the version from it
    And a peer that received it damaged pulls instead

  Scenario: a version with a removed service is passed on whole
    Given a distributor with a version in force and 10 peers
    When a version with one service fewer is applied
    Then a peer with the version before rebuilds the version from it

  Scenario: records of gone hosts are bounded
    Given a membership with records of 1000 gone hosts
    Then it keeps at most 64 of them

  Scenario: a restarted node is not ready below the version that its peers remember
    Given a distributor with a version in force and 10 peers
    When it restarts and peers remember a higher version of it
    Then it is not ready until it reaches that version

  Scenario: a new incarnation ends suspicion and is never undone
    Given a distributor with a version in force and 10 peers
    When a peer is unreachable and then restarts
    Then the peer is suspected only until its new record arrives
    And an older record of the peer changes nothing

  Scenario: a host list that lacks most hosts for a while removes no host
    Given a reader's departure detector for a list of 10 hosts
    When the list holds all hosts, then 2 hosts for 300 s
    Then no host was marked
    When the list holds all hosts, then 8 hosts for 300 s
    Then 2 hosts were marked as gone
