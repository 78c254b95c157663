Feature: Planned stops and settings that change

  Scenario: a stop closes idle connections, answers what runs and takes no more
    Given an edge that serves while its node stops
    When one connection is idle, one has sent half a request and one request runs
    And the edge stops accepting
    Then the idle connection is closed without an answer
    And the running request is answered whole with "connection: close"
    And the half request is answered once it is whole
    And a new connection is refused

  Scenario: an answer while the node stops ends its connection
    Given an edge that serves while its node stops
    When a request is sent on a kept connection
    Then it is answered whole with "connection: close"

  Scenario: what callers may send follows the configuration
    Given an edge that serves while its node stops
    When the configuration allows 300 bytes of headers
    Then a request with 400 bytes of headers is refused with 431

  Scenario: a refusal tells when to come back, an answer that may have run does not
    Then a refusal as "overloaded" after 250 ms bears "retry-after: 0.250"
    And a refusal as "worker_lost" after 250 ms bears none

  Scenario: settings are read again, and bad ones change nothing
    Given a node's settings in a file
    When the file gets other peers and the log level "warning"
    Then reading it again changes "log, peers"
    When the file is cut in half
    Then reading it again changes nothing and says why

  Scenario: the log drops lines that its reader does not take, and never blocks
    Given a log whose reader takes nothing
    When 20000 lines are written
    Then writing returned and lines were dropped and counted
    When the reader takes what comes
    Then all lines that were kept arrive whole
