Feature: A failure domain leaves and returns while callers are served

  Scenario Outline: a planned departure and return, <deployment>
    Given the "<deployment>" fleet with seed <seed>, warm
    And <rate> requests each second for 20000 ms
    When after 4000 ms "<domain>" goes "out"
    And after 12000 ms "<domain>" goes "in"
    And the session has ended
    Then no promise is broken
    And every call was answered
    And the transcript equals the golden file "serving_departure_<deployment>"

    Examples:
      | deployment  | domain       | rate | seed |
      | paddleworks | th-central-a | 1600 | 3    |
      | kalnins     | cesis        | 1800 | 4    |

  Scenario: hosts leave by a planned stop
    Given the "paddleworks" fleet with seed 5, warm
    And 1200 requests each second for 12000 ms
    When after 2000 ms host "order-desk-th-central-a-0" leaves
    And after 6000 ms host "order-desk-th-central-b-1" leaves
    And the session has ended
    Then no promise is broken
    And every call was answered
    And the transcript equals the golden file "serving_leaving"
