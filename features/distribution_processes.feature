Feature: Versions in real processes that are stopped, killed or served an old version

  Scenario: a node that was stopped and a node that was killed never return to an older version
    Given six real nodes in three failure domains with "examples/kalnins"
    When node process "cesis-0" is stopped by SIGSTOP
    And a new version is published and in force at the others
    And 4 s of real time pass and "cesis-0" is continued
    Then "cesis-0" catches up
    When the platform serves the first version again
    And node process "sigulda-0" is killed by SIGKILL and started again
    Then "sigulda-0" takes work with the newest version only
    And all six nodes have the newest version
    And the transcript equals the golden file "distribution_processes"
