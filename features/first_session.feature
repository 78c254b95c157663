Feature: A complete session in virtual time
  The decision code serves a small fleet through a configuration change, a full
  worker and a failure domain that is taken out and returns.

  Scenario: first session
    Given the configuration in "examples/paddleworks"
    And two order-desk workers in each failure domain
    And an entry in "th-central-a" with seed 7
    When version 1 is published and 12000 ms pass
    And 30 catalogue reads arrive 2 ms apart and take 20 ms each
    And "th-central-a" is taken out in version 2
    And 10 catalogue reads arrive 2 ms apart and take 20 ms each
    And version 1 arrives again
    And "th-central-a" returns in version 3
    And 30 catalogue reads arrive 2 ms apart and take 20 ms each
    Then the transcript equals the golden file "first_session"
    And no worker ran more than its slots
