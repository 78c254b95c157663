Feature: The client of the platform's configuration service takes a bounded answer

  # Guards against keeping all of an answer that does not end, until the memory is used
  # up, and against waiting for its end.
  Scenario Outline: the platform sends an <answer>
    Given a platform that sends an <answer>
    When a node reads a value from it
    Then the call fails within 15 s as "source_unreachable"
    And less than 3 MB of the answer were taken

    Examples:
      | answer       |
      | endless body |
      | endless head |
      | slow body    |
