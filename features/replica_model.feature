Feature: A restarted node does not use again what the store has removed
  Series of events are generated and are the same in each run: writes, removals, nodes
  that are cut off from the store or restarted, and changes that peers tell late or twice.

  Scenario: generated series of events
    When 300 generated series of 60 events are played on the copies of 3 nodes
    Then each copy always equals the store at the copy's position

  Scenario: a copy that keeps what a whole reading omits is found out
    Given copies that keep what a whole reading omits
    When 40 generated series of 60 events are played on the copies of 3 nodes
    Then a copy was found that holds what the store had removed

  # Guards against a copy that mixes values of the histories before and after a store came
  # back from an older copy, since revisions are given out again.
  Scenario: generated series of events with a store that is restored
    When 300 generated series of 60 events, with a store that is restored, are played on the copies of 3 nodes
    Then each copy always equals the store at the copy's position

  # Guards against a model that would not notice such a copy.
  Scenario: a copy that mixes a restored store's histories is found out
    Given copies that do not tell the store's eras apart
    When 40 generated series of 60 events, with a store that is restored, are played on the copies of 3 nodes
    Then a copy was found that does not equal the store
