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

  # Guards against a version that readers do not hear of for as long as a watch may wait,
  # since the connection of the watch has gone silent. Versions are in force within 4 s.
  Scenario: the connection of a reader's watch goes silent
    Given a platform whose connections are silent
    When a reader waits for a version
    Then the call fails within 4 s as "source_unreachable"

  # Guards against short calls that are taken for the end of the watch.
  Scenario: a reader waits on while nothing is published
    Given a platform that publishes version 2 after 2500 ms
    When a reader waits for a version
    Then it receives version 2 after 3 calls

  # Guards against a part of an answer that is taken as whole: the HTTP client ignores the
  # error of the reset while it sends, and then reads an orderly end.
  Scenario: a connection is reset within an answer without a length
    When a server resets a connection after part of an answer, before it has the request
    Then the call fails within 1 s as "source_unreachable"

  # Guards against the same in the client of the admin pages.
  Scenario: a node resets the command line's connection within an answer
    When the command line reads a page whose connection is reset before it sends
    Then the call fails within 1 s as "peer_unreachable"
