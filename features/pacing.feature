Feature: Large answers leave room for short ones on a slow link

  Scenario: downloads that start together do not queue up on the link
    Given a link of 40 megabits a second
    When 6 answers of 280000 bytes are sent in parts of 32768 bytes at once
    Then at no moment do more than 40 ms of data wait on the link
    And all of them are sent within 460 ms

  Scenario: downloads that start together get equal shares
    Given a link of 40 megabits a second
    When 6 answers of 280000 bytes are sent in parts of 32768 bytes at once
    Then the first and the last of them end within the time of 6 parts and a burst

  Scenario: a single answer on an idle link is not delayed beyond the link's rate
    Given a link of 40 megabits a second
    When 1 answers of 280000 bytes are sent in parts of 32768 bytes at once
    Then all of them are sent within 70 ms

  Scenario: a link of unknown rate delays nothing
    Given a link of unknown rate
    When 6 answers of 280000 bytes are sent in parts of 32768 bytes at once
    Then all of them are sent within 0 ms

  Scenario: a download that the link cannot send in time is refused at once
    Given a link of 40 megabits a second
    When 20 answers of 280000 bytes are expected
    And a download with an objective of 800 ms arrives
    Then it is refused with the wait for the link as its retry time
    When 15 of the expected answers are not sent
    Then a download with an objective of 800 ms is accepted

  Scenario: a download past its objective is accepted only if the link has room
    Given a link of 40 megabits a second
    When a download arrives after its objective with 1000 ms left
    Then it is accepted while the link is free
    And it is refused behind 8 answers of 280000 bytes

  Scenario: large answers come from hosts whose links are free, short ones from any
    Given two near workers, one of which waits 400 ms for its link
    Then 20 requests with large answers go to the other one
    And requests with short answers go to both

  Scenario: a large answer comes from the entry's own host if it has room
    Given two near workers, one of which waits 400 ms for its link
    When the other one is the entry's own host
    Then 20 requests with large answers go to the other one
