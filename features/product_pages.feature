Feature: The documentation pages match the program

  Scenario: the table of error kinds
    Then the table of "Error kinds" in "docs/OPERATING.md" lists each kind with its answer

  Scenario: the table of metrics
    Then the table of "Metrics" in "docs/OPERATING.md" lists each metric with its labels

  Scenario: the table of events
    Then the table of "Log" in "docs/OPERATING.md" lists each event with its level

  Scenario: files shown in the pages are valid
    When the files shown in the pages are written to one directory
    Then the configuration and settings among them are accepted

  Scenario: commands shown in the pages
    Given one running node of "examples/kalnins"
    When each command shown in the pages runs against it
    Then every exit status is 0

  Scenario: programs shown in the pages
    Then each program shown in the pages prints the output that the page shows
