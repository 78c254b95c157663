Feature: A long value is sent as a delta

  Scenario: one record of many changes
    Given a configuration of 2000 records
    When record 700 changes
    Then the delta is shorter than 1000 bytes and gives the new value

  Scenario: records are added and removed
    Given a configuration of 2000 records
    When 20 records are added and 30 are removed
    Then the delta is shorter than 6000 bytes and gives the new value

  Scenario: a delta that refers to records missing in the base is refused
    Given a configuration of 2000 records
    When record 700 changes
    Then applied to a shorter value the delta is refused

  Scenario: deltas of any bytes rebuild the value
    Then deltas between 200 pairs of random values rebuild the second one
