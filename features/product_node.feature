Feature: The daemon's interface for operators

  Scenario: refused settings name the field and the reason
    When each of these changes to a settings file is checked
      | field                        | value              |
      | host                         | ""                 |
      | host                         | 7                  |
      | domain                       | "Cesis"            |
      | domain                       |                    |
      | zone                         | "cesis"            |
      | node_listen                  | "127.0.0.1"        |
      | node_listen                  | "localhost:7100"   |
      | node_listen                  | "0.0.0.0:7100"     |
      | public_listen                | "127.0.0.1:0"      |
      | public_listen                | "127.0.0.256:7101" |
      | public_listen                | "127.0.0.1:65536"  |
      | public_listen                | "127.0.0.1:7100"   |
      | worker                       | null               |
      | worker                       | {}                 |
      | worker.address               | "127.0.0.1:7101"   |
      | worker.connect_timeout_ms    | 0                  |
      | platform.address             | 7                  |
      | platform.watch_wait_ms       | 1e3                |
      | peers                        | "127.0.0.1:7100"   |
      | peers                        | ["127.0.0.1:x"]    |
      | limits                       | {"hops": 0}        |
      | limits                       | {"body_bytes": 1e9} |
      | limits                       | {"body_bytes": 999999999} |
      | log                          | {"level": "loud"}  |
      | drain_limit_ms               | 600001             |
      | seed                         | true               |
      | routing                      | {"cross_domain_ms_per_kib": -1} |
      | log                          | {"a\nb": 1}         |
    Then the transcript equals the golden file "node_settings"
    And every exit status is 1

  Scenario: settings that are valid, missing or passed wrongly
    When these daemon commands run
      """
      cactushookd check-settings --settings good.jsonc
      cactushookd check-settings --settings missing.jsonc
      cactushookd check-settings --settings .
      cactushookd check-settings
      cactushookd check-settings --set good.jsonc
      cactushookd check-settings --settings good.jsonc more
      cactushookd
      cactushookd walk --settings good.jsonc
      """
    Then the transcript equals the golden file "node_command"

  Scenario: a port in use is reported in one clear line
    Given one node of "examples/kalnins" that is not started
    And its public address is in use
    When the node is started and ends
    Then it ended with status 1 and the one line "public_listen ADDRESS: Address already in use"

  Scenario: a node waits for a platform that is unreachable at the start
    Given one node of "examples/kalnins" that is not started
    When the node is started without its platform
    Then it becomes not ready because "no configuration yet, the platform is unreachable"
    And its log contains the event "source_unreachable"
    When the platform is started
    Then it becomes ready
    And its log contains the event "source_reachable"
    And it stops with status 0

  Scenario: the admin address answers while the node drains
    Given one running node of "examples/kalnins"
    When the node gets SIGTERM while it serves a request of 3000 ms
    Then it becomes not ready because "draining"
    And its status shows that it is leaving
    And the request is answered with 200
    And the node ended with status 0

  Scenario: a second SIGTERM ends the node at once
    Given one running node of "examples/kalnins"
    When the node gets SIGTERM while it serves a request of 4000 ms
    Then it becomes not ready because "draining"
    When the node gets SIGTERM again
    Then the node ended with status 0
    And the request was cut off

  Scenario: status and explanations through the command
    Given running nodes in three failure domains of "examples/kalnins"
    When these commands query the node "cesis-0"
      """
      cactushook status --node NODE
      cactushook explain --node NODE GET /reports/17
      cactushook explain --node NODE GET /reports/17?verbose=1 --json
      cactushook explain --node NODE GET /photo-bundles/1
      cactushook explain --node NODE POST /repair-orders
      cactushook explain --node NODE GET /survey-index
      cactushook explain --node NODE GET /nowhere
      cactushook explain --node NODE BREW /reports
      """
    And "cesis" and "valmiera" are out in the version in force
    And these commands query the node "cesis-0"
      """
      cactushook status --node NODE
      cactushook explain --node NODE GET /reports/17
      """
    Then the transcript equals the golden file "node_status"

  Scenario: the log is JSON lines and holds nothing that a caller sent
    Given a node logging at "debug" for "examples/kalnins"
    When requests carry the word "hush" in query, body, header and key
    And the node is stopped
    Then each line of its log is an event with time, level, host, domain and version
    And its log does not hold the word "hush"

  Scenario: explanations do not change routing
    Given two entries with the same seed and the same three workers
    When 200 requests are routed by both, and one of them explains each first
    Then both chose the same workers as the explanations

  Scenario: an address that does not answer like a node
    When the status command queries an address that returns each of these
      | answer                                                |
      | HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}        |
      | HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n\xff{}    |
      | HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}        |
      | HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n   |
      | HTTP/1.1 302 Found\r\nlocation: /\r\n\r\n             |
      | SSH-2.0-server\r\n                                    |
      |                                                       |
    Then the transcript equals the golden file "cli_strangers"
    And every exit status is 1

  # JSON nested too deeply raises an error that is none of the decoder's.
  Scenario: an answer nested too deeply does not end the command with a traceback
    When the status command queries an address whose answer is nested 100000 levels deep
    Then it ends with status 1 and one line that names the address
