Feature: Test runs on one machine do not share ports

  Scenario: ranges that other runs hold are skipped
    Given 4 ranges of ports, of which another run holds 2
    When 3 processes claim a range
    Then 2 of them get one that nobody holds, and the third fails
