Feature: The operators' command
  Exit status 0 means success, 1 refused input and 2 wrong usage. Reasons go to
  standard error, each with its file and its line or field.

  Scenario: each command on a valid configuration
    Given a copy of the configuration "examples/kalnins"
    When these commands run
      """
      cactushook check .
      cactushook check . --json
      cactushook check --json .
      cactushook check reports
      cactushook check reports/reports.cactushook.jsonc ./reports --json
      cactushook bundle . --out ../out
      cactushook bundle . --out ../out --json
      cactushook domain out cesis
      cactushook domain out cesis --dir .
      cactushook domain out cesis --json
      cactushook bundle . --out ../out
      cactushook bundle . --out ../out --version 2
      cactushook domain in cesis --dir=. --json
      cactushook bundle . --out ../out --version 7
      cactushook version
      """
    Then the transcript equals the golden file "cli_commands"

  Scenario: help of each command
    Given a copy of the configuration "examples/kalnins"
    When these commands run
      """
      cactushook --help
      cactushook check --help
      cactushook bundle -h
      cactushook domain --help
      cactushook domain out --help
      cactushook domain in --help
      cactushook status --help
      cactushook explain --help
      cactushook version --help
      """
    Then the transcript equals the golden file "cli_help"

  Scenario: wrong usage
    Given a copy of the configuration "examples/kalnins"
    When these commands run
      """
      cactushook
      cactushook chekc .
      cactushook check
      cactushook check . --jsn
      cactushook check . --json=yes
      cactushook check . --json --json
      cactushook check . -- --interactive
      cactushook check . - upper
      cactushook bundle .
      cactushook bundle . --out
      cactushook bundle . --out --json
      cactushook bundle . --out=
      cactushook bundle . ../out
      cactushook bundle . --out ../out --version 1.10
      cactushook bundle . --out ../out --version 0
      cactushook bundle . --out ../out --version [1]
      cactushook bundle . --out ../out --version -1
      cactushook domain
      cactushook domain away cesis
      cactushook domain out
      cactushook domain out cesis valmiera
      cactushook status
      cactushook status --node nowhere
      cactushook status --node 127.0.0.1:99999
      cactushook status --node 127.0.0.1:7 upper
      cactushook explain --node 127.0.0.1:7 GET
      cactushook explain --node 127.0.0.1:7 get /reports
      cactushook explain --node 127.0.0.1:7 GET reports
      cactushook version upper
      cactushook version __class__
      """
    Then the transcript equals the golden file "cli_usage"
    And every exit status is 2
    And the directory "../out" does not exist

  Scenario: refused input of the commands
    Given a copy of the configuration "examples/kalnins"
    And a file "plain" that holds "x"
    And a directory "empty"
    And a link "loop" to "loop"
    And a link "here" to "."
    When these commands run
      """
      cactushook check missing
      cactushook check loop
      cactushook check empty
      cactushook check plain
      cactushook check /dev/null
      cactushook bundle empty --out ../out
      cactushook bundle missing --out ../out
      cactushook bundle . --out plain
      cactushook bundle . --out /dev/null/out
      cactushook domain out 1.10
      cactushook domain out [x]
      cactushook domain out nowhere
      cactushook domain out cesis --dir empty
      cactushook domain out cesis --dir missing
      cactushook domain out cesis
      cactushook domain out valmiera
      cactushook domain out sigulda
      cactushook status --node 127.0.0.1:1
      cactushook status --node 127.0.0.1:1 --json
      cactushook explain --node 127.0.0.1:1 GET /reports
      """
    Then the transcript equals the golden file "cli_refusals"

  Scenario: refused configuration, each with its field and reason
    Given a copy of the configuration "examples/kalnins"
    When each of these changes is checked and bundled
      | file      | text                   | changed to                           |
      | reports   | "slots": 10            | "slots": 0                           |
      | reports   | "slots": 10            | "slots": 131                         |
      | reports   | "slots": 10            | "slots": 10.5                        |
      | reports   | "slots": 10            | "slots": NaN                         |
      | reports   | "slots": 10            | "slots": Infinity                    |
      | reports   | "slots": 10            | "slots": 10, "slots": 12             |
      | reports   | "slots": 10            | "slots": 10, "slot": 12              |
      | reports   | "slots": 10,           |                                      |
      | reports   | "timeout_ms": 2000     | "timeout_ms": 600001                 |
      | reports   | "service": "reports"   | "service": "Reports"                 |
      | reports   | "service": "reports"   | "service": "archive"                 |
      | reports   | "team": "inspections"  | "team": null                         |
      | reports   | "team": "inspections"  | "team": "\ud800"                     |
      | reports   | "team": "inspections", | "team": "inspections"                |
      | reports   | "team": "inspections"  | "team": "inspections                 |
      | reports   | // Requested only      | /* Requested only                    |
      | reports   | "class": "idempotent"  | "class": "fast"                      |
      | reports   | "path": "/reports"     | "path": "reports"                    |
      | reports   | "path": "/reports"     | "path": "/photo-bundles"             |
      | reports   | "path": "/reports"     | "path": "/survey-index"              |
      | reports   | "path": "/reports"     | "service": "ledger", "path": "/reports" |
      | reports   | "sigulda"              | "salaspils"                          |
      | operators | "state": "in"          | "state": "out"                       |
      | operators | "name": "valmiera"     | "name": "cesis"                      |
      | operators | "region": "vidzeme",   |                                      |
      | operators | "failure_domains"      | "zones"                              |
    Then the transcript equals the golden file "cli_configuration"
    And every exit status is 1

  Scenario: hostile files
    Given a copy of the configuration "examples/kalnins"
    When each hostile file is checked
    Then the transcript equals the golden file "cli_hostile"
    And every exit status is 1

  Scenario: the order of files never changes the published bytes
    Given a copy of the configuration "examples/paddleworks"
    When it is published 12 times, its files renamed and written in a shuffled order
    Then all published directories hold the same bytes

  Scenario: the command as a process
    Given a copy of the configuration "examples/kalnins"
    And a directory "sealed"
    When these commands run as processes
      """
      cactushook check .
      cactushook check . --jsn
      cactushook check missing
      cactushook --help
      cactushook status --node 127.0.0.1:1
      """
    Then the transcript equals the golden file "cli_process"
