Feature: A gate decides which requests run, wait or are refused

  Scenario: a waiting download does not block the requests behind it
    Given a warm gate with 4 slots
    When 2 downloads run and a download waits
    Then a read is admitted at once

  Scenario: an at-most-once request goes before a read that waited longer
    Given a warm gate with 1 slots
    When a read runs, a read waits and an at-most-once request waits
    Then the freed slot goes to the at-most-once request

  Scenario: a full queue sheds downloads first and at-most-once requests last
    Given a warm gate with 1 slots and a queue of 1
    When a read runs and a download waits
    Then a read takes the download's place
    And an at-most-once request takes the read's place
    And a further read is refused as "overloaded"

  Scenario: limits change while requests run
    Given a warm gate with 4 slots
    When 4 reads run and the slots become 2
    Then no further read is admitted until fewer than 2 run

  Scenario: the connections limit the slots
    Given a warm gate with 4 slots and 3 connections
    Then 3 reads are admitted at once and the next one waits

  Scenario: a request whose deadline passes in the queue does not run
    Given a warm gate with 1 slots
    When a read runs and a read with 100 ms left waits
    Then after 100 ms the waiting read is refused as "deadline_not_run"

  Scenario: a gate that was paused refuses new requests until its view is fresh
    Given a configured gatekeeper that wakes from a pause
    Then a read is refused as "not_ready"
    And a peer update right after the pause does not count
    And after a later peer update a read is admitted
