Feature: Planned stops, reloaded settings and the log

  Scenario: a stop closes idle connections, answers running requests and accepts no connection
    Given an edge that serves while its node stops
    When one connection is idle, one has sent half a request and one request runs
    And the edge stops accepting
    Then the idle connection is closed without an answer
    And the running request is answered whole with "connection: close"
    And the half request is answered once it is whole
    And a new connection is refused

  Scenario: an answer while the node stops closes its connection
    Given an edge that serves while its node stops
    When a request is sent on a kept-alive connection
    Then it is answered whole with "connection: close"

  Scenario: limits for callers follow the configuration
    Given an edge that serves while its node stops
    When the configuration allows 300 bytes of headers
    Then a request with 400 bytes of headers is refused with 431

  Scenario: a refusal has a retry time, an answer to a request that may have run has none
    Then a refusal "overloaded" with a retry time of 250 ms has "retry-after: 0.250"
    And a refusal "worker_lost" with a retry time of 250 ms has no retry-after

  Scenario: settings are reloaded, and invalid ones change nothing
    Given a node's settings in a file
    When the file gets other peers and the log level "warning"
    Then reloading it changes "log, peers"
    When the file is cut in half
    Then reloading it changes nothing and logs the reason

  Scenario: the log drops lines that its reader does not read, and never blocks
    Given a log whose reader reads nothing
    When 20000 lines are written
    Then writing returned and lines were dropped and counted
    When the reader reads everything
    Then all lines that were kept arrive whole

  Scenario: a node that is stopped before it has a configuration refuses with a retry
    Given an entry of a node that has no configuration
    When the node is stopped and a request arrives
    Then the request is refused as "not_ready"

  Scenario: a node that starts tells callers to return within a third of their time
    Given an entry of a node that has no configuration
    When requests arrive whose callers wait 2000 ms
    Then each is refused as "not_ready", with a retry time of 350 to 650 ms

  Scenario: a planned stop under load: requests that have just arrived are answered
    Given an edge that serves while its node stops
    When the edge stops accepting just after 5 new connections and 5 idle ones sent requests
    Then each of the 10 requests is answered whole with "connection: close"

  # Guards against stops that the platform's kill ends before the node does.
  Scenario Outline: a stop ends before the platform kills the node: <grace_ms> ms
    Given a node's settings with a drain limit of <drain_limit_ms> ms
    When the platform kills the node <grace_ms> ms after SIGTERM
    Then its stop takes at most <stop_limit_ms> ms

    Examples:
      | drain_limit_ms | grace_ms | stop_limit_ms |
      | 5400           | 2500     | 2100          |
      | 20000          | 6000     | 5600          |
      | 20000          | 10000    | 9600          |
      | 5000           | 10000    | 5000          |

  # Guards against a stop that outlasts the platform's grace as its start was delayed.
  Scenario: a stop that begins late takes the less time
    Given a node whose event loop runs 700 ms late
    When its stop of at most 2600 ms begins
    Then the stop ends within 1900 ms

  # Guards against a stop that ends before the node has refused new requests.
  Scenario: a node with a short stop serves as before for half of it
    Given a node whose event loop runs 0 ms late
    When its stop of at most 1000 ms begins
    Then the node serves as before for 500 ms
