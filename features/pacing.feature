Feature: Large answers leave room on a thin link for short ones

  Scenario: downloads that start together do not queue up on the link
    Given a link of 40 megabits a second
    When 6 answers of 280000 bytes are sent in parts of 32768 bytes at once
    Then at no moment do more than 40 ms of data wait on the link
    And all of them are sent within 460 ms

  Scenario: downloads that start together get equal shares
    Given a link of 40 megabits a second
    When 6 answers of 280000 bytes are sent in parts of 32768 bytes at once
    Then the first and the last of them end within a round of 6 parts and a burst

  Scenario: a single answer on an idle link is not held back beyond the link's rate
    Given a link of 40 megabits a second
    When 1 answers of 280000 bytes are sent in parts of 32768 bytes at once
    Then all of them are sent within 70 ms

  Scenario: without a known rate nothing waits
    Given a link of unknown rate
    When 6 answers of 280000 bytes are sent in parts of 32768 bytes at once
    Then all of them are sent within 0 ms

  Scenario: a download that the link would not carry in time is refused at once
    Given a link of 40 megabits a second
    When 20 answers of 280000 bytes are expected
    And a download with an objective of 800 ms arrives
    Then it is refused and told to come back after about the time that the link needs
    When 15 of the answers turn out not to be sent
    Then a download with an objective of 800 ms is taken

  Scenario: a download that is late already takes what room is left
    Given a link of 40 megabits a second
    When a download arrives after its objective with 1000 ms left
    Then it is taken while the link is free
    And it is refused behind 8 answers of 280000 bytes

  Scenario: large answers come from hosts whose links are free, short ones from any
    Given two near workers, one of which waits 400 ms for its link
    Then 20 requests with large answers go to the other one
    And requests with short answers go to both

  Scenario: a large answer comes from the entry's own host if it has room
    Given two near workers, one of which waits 400 ms for its link
    When the other one is the entry's own host
    Then 20 requests with large answers go to the other one
