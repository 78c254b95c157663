Feature: The whole request path through separate processes

  Scenario: one request of each class through real nodes
    Given real processes in three failure domains with "examples/kalnins"
    When a read, a keyed write and its copy, a download and an internal call are made
    And "cesis" is taken out and put back
    And the nodes are stopped
    Then the transcript equals the golden file "processes"
