Feature: A request that was given up at its gate may still crash its worker

  # Guards against a request that crashes workers without end, since it has ended at its
  # gate before the worker does.
  Scenario Outline: <end>, and the worker crashes, which shows <sign>
    Given a gate with a listed worker
    When a request is sent to the worker
    And <end>
    And the worker crashes, which shows <sign>
    Then the request is held to have crashed it once

    Examples:
      | end                         | sign                                |
      | its caller leaves           | as it accepts no connections        |
      | its deadline passes         | as it accepts no connections        |
      | its answer is invalid       | as it accepts no connections        |
      | its caller leaves           | as another instance is listed       |
      | its caller leaves           | as the same instance starts anew    |
      | its deadline passes         | as another instance is listed       |
      | its caller leaves           | by a down worker, then its listing  |

  # Guards against the same where the platform does not list workers.
  Scenario Outline: <end>, and the worker crashes, which shows <sign> without a listing
    Given a gate with a worker that nobody lists
    When a request is sent to the worker
    And <end>
    And the worker crashes, which shows <sign>
    Then the request is held to have crashed it once

    Examples:
      | end                         | sign                                |
      | its caller leaves           | as it loses another request         |
      | its deadline passes         | as it loses another request         |
      | its caller leaves           | as another instance answers         |

  # Guards against answers of a worker that has yet to crash, which clear the request.
  Scenario: other requests are answered between the end and the crash
    Given a gate with a listed worker
    When a request is sent to the worker
    And its caller leaves
    And another request is answered 100 ms later
    And the worker crashes, which shows as it accepts no connections
    Then the request is held to have crashed it once

  # Guards against the same if the next start answers before it is listed.
  Scenario: the next start answers before it is listed
    Given a gate with a listed worker
    When a request is sent to the worker
    And its caller leaves
    And another request is answered 1500 ms later
    And another request is answered 100 ms later
    And the worker crashes, which shows as the same instance starts anew
    Then the request is held to have crashed it once

  # Guards against requests that are refused though they cannot have crashed a worker.
  Scenario Outline: a request <end>, and the worker crashes
    Given a gate with a listed worker
    When a request <end>
    And the worker crashes, which shows as it accepts no connections
    Then the request is not held to have crashed it

    Examples:
      | end                                                     |
      | is given up before it is sent                           |
      | is sent and the worker refuses it                       |
      | is sent and answered                                    |
      | is given up, and a later one is answered past its time  |
      | is given up 12 s before                                 |

  # Guards against a planned stop that counts as a crash.
  Scenario Outline: a worker <end> shortly after a request was given up
    Given a gate with a listed worker
    When a request is sent to the worker
    And its caller leaves
    And the worker <end>
    Then the request is not held to have crashed it

    Examples:
      | end                                                     |
      | is listed as leaving, then another instance             |
      | is not listed any more, then another instance           |
      | is not listed for a while, then as before               |
      | is replaced by one of another service                   |
