Feature: A node keeps its copy of the store up to date with few calls

  Scenario: few nodes read, whatever the size of the fleet
    Given failure domains of 4, 17 and 40 hosts
    Then 1, 2 and 3 of their hosts read the store
    And every other node follows two readers, the first one in its own domain
    And no node follows itself

  Scenario: the readers of a domain share its followers
    Given failure domains of 4, 17 and 40 hosts
    Then no reader has more than 32 followers that it sends changes to

  Scenario: an upstream that falls silent is left before changes come too late
    Given a node that follows two readers
    When its first reader falls silent
    Then it follows another one within 1300 ms
    And it does not read the store

  Scenario: an upstream that the store turns away is left at once
    Given a node that follows two readers
    When its first reader tells that it is not up to date
    Then it follows another one within 100 ms
    And it does not read the store

  Scenario: without any reader that is up to date a node reads the store itself
    Given a node that follows two readers
    When all readers fall silent
    Then it reads the store within 2000 ms
    When a reader is up to date again
    Then it stops to read the store

  Scenario: a fleet without readers does not call the store in the same moment
    Given failure domains of 30, 30 and 30 hosts
    When no reader is up to date
    Then its nodes begin to read over more than 300 ms

  Scenario: a node that starts asks the seeds, and reads if none of them answers
    Given a node that knows two seeds and no hosts
    Then it follows both seeds and does not read
    When 1100 ms pass without an answer
    Then it reads the store

  Scenario: a seed that starts reads the store
    Given a node that is a seed and knows no hosts
    Then it reads the store at once
