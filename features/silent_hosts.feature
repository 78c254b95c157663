Feature: Requests go elsewhere while a host does not respond
  A host without power, a frozen one and one behind a partition answer nothing.

  Scenario: a sixth of the hosts lose power at once
    Given 60 entries that each send 4 requests a second to 60 hosts
    When 10 of the hosts lose power for 4 s
    Then no dead host gets a request later than 1000 ms after its first one
    And fewer than a third as many are lost as without reports from peers

  Scenario: a host that a cut-off peer reports as silent stays in use if it answers
    Given a node with a link to a host that answers
    When a peer reports the host as silent
    Then the host is asked and stays in use

  Scenario: a host that a peer reports as silent is asked, and left out if it is silent
    Given a node with a link to a host that does not answer
    When a peer reports the host as silent
    Then the host is asked and gets requests last
    When the host sends something again
    Then the host is in use again

  Scenario: peers are told of a silent host once, and not of what they reported
    Given a node that finds 3 hosts silent, 1 of them reported by a peer
    Then it reports 2 hosts, and nothing at the next time

  Scenario: a silent host is probed about every 700 ms
    Given a node with a link to a host that does not answer
    When the host is silent for 5000 ms
    Then it is pinged every 700 to 750 ms

  Scenario: silent hosts are probed until they respond, are gone or are forgotten
    Given a node that finds 3 hosts silent, 0 of them reported by a peer
    When 1 host responds and 1 is no longer listed
    Then 1 host is probed
    And none is probed after 31 s

  Scenario: the only host of a service gets requests although it is silent
    Given a service whose only host is silent
    Then a request is sent to it all the same

  Scenario: an entry prefers a host that refused just now to one that is silent
    Given a service with a silent host and one that refused just now
    Then a request is sent to the one that refused
