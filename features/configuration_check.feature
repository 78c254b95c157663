Feature: The check of a configuration before it is sent

  Scenario: each finding once
    Given a snapshot that has each kind of finding
    When it is checked
    Then the findings have each code that is no difference, once
    And the transcript equals the golden file "check_findings"

  Scenario: each difference once, and no key
    Given a snapshot in force and one that differs from it in each way
    When they are compared
    Then the differences have each code of a difference, once
    And neither keys nor digests of keys are in the transcript
    And the transcript equals the golden file "check_differences"

  # Guards against parts of two versions that are compared as one, and keys that show.
  Scenario: the configuration in force at a node
    Given a snapshot in force and one that differs from it in each way
    Then its configuration is fetched in parts, without keys
    And parts of different versions are never put together

  Scenario: no findings on sound configurations
    Then the configurations of the examples have no findings
    And a snapshot does not differ from itself

  # Guards against a check that disagrees with how requests are matched.
  Scenario: routes that are told as shadowed are those that no request reaches
    Then on generated routes, the findings agree with the matching of requests

  # Guards against a check whose cost grows faster than the routes.
  Scenario: large configurations
    Then the steps of a check grow in proportion to the routes

  Scenario: the command
    Given a copy of the configuration "examples/kalnins"
    When these commands run
      """
      cactushook bundle . --out ../out --version 7
      cactushook check . --against ../out
      cactushook check . --against . --json
      cactushook domain out cesis
      cactushook check . --against ../out
      """
    And the text '"timeout_ms": 2000' in "reports" becomes '"timeout_ms": 2000, "objective_ms": 2500'
    And these commands run
      """
      cactushook check .
      cactushook check . --strict
      cactushook check . --strict --against ../out --json
      cactushook check reports --strict
      cactushook check reports --against ../out
      cactushook check . --against ../missing
      cactushook check . --against
      cactushook check . --strict=yes
      """
    Then the transcript equals the golden file "cli_check"

  Scenario: the command against a node
    Given one running node of "examples/kalnins"
    And a copy of the configuration "examples/kalnins"
    When the configuration is checked against the node
    And the text '"timeout_ms": 2000' in "reports" becomes '"timeout_ms": 2500'
    And the configuration is checked against the node
    Then the checks found 0 and 1 differences

  # Guards against a comparison with a damaged publication.
  Scenario: a damaged published version is not compared with
    Given a copy of the configuration "examples/kalnins"
    When these commands run
      """
      cactushook bundle . --out ../out
      """
    And a published value is damaged
    And these commands run
      """
      cactushook check . --against ../out
      """
    Then the last exit status is 1

  Scenario: the codes are documented
    Then "docs/OPERATING.md" has a row with the severity of each code
