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
