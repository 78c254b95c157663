Feature: A restarted node does not use again what the store has removed
  Series of events are generated and are the same in each run: writes, removals, nodes
  that are cut off from the store or restarted, and changes that peers tell late or twice.

  Scenario: generated series of events
    When 300 generated series of 60 events are played on the copies of 3 nodes
    Then each copy always equals the store at the copy's revision

  Scenario: a copy that keeps what a whole reading omits is found out
    Given copies that keep what a whole reading omits
    When 40 generated series of 60 events are played on the copies of 3 nodes
    Then a copy was found that holds what the store had removed
