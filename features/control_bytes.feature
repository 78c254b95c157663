Feature: Control bytes that nodes count

  Scenario: a link counts control bytes in both directions and no others
    Given two nodes connected by a link in memory
    When one node sends a version announcement and a request's credit
    Then each counted the frames of the hellos and of the announcement
