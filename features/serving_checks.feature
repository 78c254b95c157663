Feature: Each check of a serving transcript finds a wrong decision

  Scenario Outline: the check "<check>" finds <wrong>
    Given the "paddleworks" fleet with seed <seed>, warm
    And the wrong decision "<wrong>"
    And 1000 requests each second for 6000 ms
    When after 1000 ms "th-central-a" goes "out"
    And after 1100 ms host "order-desk-th-central-b-0" leaves
    And after 1500 ms hosts "order-desk-th-central-c-0, order-desk-th-central-c-1, workshop-files-th-central-c-0, workshop-files-th-central-b-0" are killed and return after 1000 ms
    And after 1440 ms 40 downloads of 30 ms are requested at once
    And after 1490 ms 40 commissions of 30 ms are requested at once
    And the session has ended
    Then the check "<check>" finds a violation

    Examples:
      | check                  | wrong                                | seed |
      | duplicate_runs         | any gate runs any key                | 42   |
      | false_not_run          | an unknown outcome counts as not run | 41   |
      | work_at_out_domain     | a domain that is out counts as in    | 41   |
      | work_at_leaving_host   | a leaving host takes work            | 41   |
      | slots_exceeded         | twice the slots are used             | 41   |
      | cold_worker_overloaded | a cold worker counts as warm         | 41   |
      | half_answer_as_whole   | a cut answer counts as whole         | 41   |
      | wrong_answer           | all requests have the same number    | 41   |
      | idle_slots             | a freed slot is not reassigned       | 41   |
      | left_without_end       | refusals are dropped                 | 41   |

  Scenario: the same session without a wrong decision passes every check
    Given the "paddleworks" fleet with seed 41, warm
    And 1000 requests each second for 6000 ms
    When after 1000 ms "th-central-a" goes "out"
    And after 1100 ms host "order-desk-th-central-b-0" leaves
    And after 1500 ms hosts "order-desk-th-central-c-0, order-desk-th-central-c-1, workshop-files-th-central-c-0, workshop-files-th-central-b-0" are killed and return after 1000 ms
    And after 1440 ms 40 downloads of 30 ms are requested at once
    And after 1490 ms 40 commissions of 30 ms are requested at once
    And the session has ended
    Then no promise is broken

  Scenario: the check of refusals finds a run after the refusal
    Given a transcript in which a refused request starts later
    Then the check "false_not_run" finds a violation
