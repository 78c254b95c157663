Feature: Publishing
  Values are written first and the head last; versions only increase.

  Scenario: versions
    Given a copy of the configuration "examples/kalnins"
    When these commands run
      """
      cactushook bundle . --out ../out --version 5
      cactushook bundle . --out ../out --version 4
      cactushook domain out cesis
      cactushook bundle . --out ../out --version 4
      cactushook bundle . --out ../out --version 5
      cactushook bundle . --out ../out
      """
    Then the transcript equals the golden file "cli_versions"

  Scenario: a head that cannot be read stops the publication
    Given a copy of the configuration "examples/kalnins"
    When the published head holds each of these
      | text                                      |
      | garbage                                   |
      | {}                                        |
      | {"version": -1, "root": ""}               |
      | {"version": 9223372036854775807, "root": ""} |
    Then each publication is refused and the head stays

  Scenario: an interrupted publication is never visible in part
    Given a copy of the configuration "examples/kalnins"
    When a publication is interrupted at each of its writes
    Then every state that a reader could see is a whole version
    And publishing again repairs a value that was damaged

  Scenario: publishers that run at the same time
    Given a copy of the configuration "examples/kalnins"
    When 4 publishers of different configurations run at once on one directory
    Then they published 4 versions and the last one is whole

  Scenario: publishers that overlap
    Given a copy of the configuration "examples/kalnins"
    When one publisher reads the head while another is about to publish
    Then they published 2 versions and the last one is whole
