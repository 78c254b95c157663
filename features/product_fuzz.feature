Feature: No input ends a command with a traceback
  Inputs are generated and are the same in each run.

  Scenario: any bytes as a configuration file
    When 400 generated files are checked as team files and as the operators' file
    Then every exit status is 0 or 1, and each refusal is one line that names its file

  Scenario: damaged configuration
    When 400 damaged copies of "examples/kalnins/reports/reports.cactushook.jsonc" are checked
    Then every exit status is 0 or 1, and each refusal is one line that names its file

  Scenario: any JSON as settings of the daemon
    When 400 generated settings files are checked
    Then every exit status is 0 or 1, and each refusal is one line that names its file

  Scenario: any words as arguments
    When 600 generated lists of arguments are run
    Then every exit status is 0, 1 or 2 and nothing is printed twice

  Scenario: accepted configuration survives a round trip
    When 200 generated valid team files are published and assembled
    Then each assembled file equals the original and publishes the same bytes again
