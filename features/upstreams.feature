Feature: A node keeps its copy of the store up to date with few calls

  Scenario: few nodes read, whatever the size of the fleet
    Given failure domains of 4, 33 and 72 hosts
    Then 1, 2 and 3 of their hosts read the store
    And every other node follows two readers, the first one in its own domain
    And no node follows itself

  Scenario: the readers of a domain share its followers
    Given failure domains of 4, 17 and 40 hosts
    Then no reader has more than 32 followers that it sends changes to

  # Guards against changes that reach the other readers only with their own next reading.
  Scenario: the readers follow one another as a tree from the first one
    Given failure domains of 30, 300 and 700 hosts
    Then just one reader is the first
    And every other reader gets its changes from one nearer to the first, at most 2 away
    And no reader has more than 40 followers that it sends changes to

  # Guards against a fleet that reads all changes with a pause once its first reader is gone.
  Scenario: another reader is the first when the first one stops answering
    Given failure domains of 4, 4 and 4 hosts
    When the first reader stops answering
    Then just one other reader is the first within 1300 ms

  Scenario: a node leaves a silent upstream before changes arrive too late
    Given a node that follows two readers
    When its first reader stops answering
    Then it follows another one within 1300 ms
    And it does not read the store

  Scenario: a node at once leaves an upstream that is not up to date
    Given a node that follows two readers
    When its first reader reports that it is not up to date
    Then it follows another one within 100 ms
    And it does not read the store

  Scenario: a node without an up-to-date reader reads the store itself
    Given a node that follows two readers
    When all readers stop answering
    Then it reads the store within 2000 ms
    When a reader is up to date again
    Then it stops reading the store

  Scenario: a fleet without readers does not call the store at the same moment
    Given failure domains of 30, 30 and 30 hosts
    When no reader is up to date
    Then its nodes start reading over more than 300 ms

  Scenario: a starting node queries the seeds, and reads the store if none answers
    Given a node that knows two seeds and no hosts
    Then it follows both seeds and does not read
    When 1100 ms pass without an answer
    Then it reads the store

  Scenario: a starting seed reads the store
    Given a node that is a seed and knows no hosts
    Then it reads the store at once
