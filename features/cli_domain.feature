Feature: Taking a failure domain out of service in the operators' file
  The edit changes one state and nothing else.

  Scenario: comments, layout and link are preserved
    Given an operators' file
      """
      // "name": "b" is not the one.
      {
        "failure_domains": [
          {"name": "a", "region": "r"}, // {"name": "b", "state": "in"}
          {
            "region": "r",
            /* "name": "c", "state": "in" */
            "name": "b",
          },
          { "state" :  "in" , "name" : "c", "region": "r" },
          {"n\u0061me": "d", "region": "r", "st\u0061te": "in"},
        ],
      }
      """
    When these domain commands run, each shown with the lines that changed
      """
      out a
      out b
      out c
      out c
      in a
      in b
      out d
      out b
      """
    Then the transcript equals the golden file "cli_domain"

  Scenario: any layout of an operators' file
    When 300 generated operators' files are edited
    Then each differs in one state only and keeps its comments

  Scenario: operators that edit at the same time
    Given a copy of the configuration "examples/kalnins"
    When "domain out cesis" and "domain out sigulda" run at once 3 times
    Then the operators' file has both changes each time

  Scenario: operators whose edits overlap
    Given a copy of the configuration "examples/kalnins"
    When one edit reads the file while another is about to write it
    Then the operators' file has both changes each time
