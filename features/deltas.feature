Feature: A long value travels as what changed in it

  Scenario: one record of many changes
    Given a configuration of 2000 records
    When record 700 changes
    Then the delta is shorter than 1000 bytes and gives the new value

  Scenario: records are added and removed
    Given a configuration of 2000 records
    When 20 records are added and 30 are removed
    Then the delta is shorter than 6000 bytes and gives the new value

  Scenario: a delta that names records the base lacks is refused
    Given a configuration of 2000 records
    When record 700 changes
    Then applied to a shorter value the delta is refused

  Scenario: any bytes give back the value
    Then deltas between 200 pairs of random values give back the second one
