Feature: The promises also hold under faults

  Scenario Outline: <name>
    Given the "<deployment>" fleet with seed <seed>, warm
    And <rate> requests each second for 12000 ms
    When after <first>
    And after <second>
    And the session has ended
    Then no promise is broken
    And the transcript equals the golden file "serving_fault_<golden>"

    Examples:
      | name                                             | golden     | deployment  | rate | seed | first | second |
      | several hosts are killed and return              | herd       | paddleworks | 1000 | 11   | 2000 ms hosts "order-desk-th-central-a-0, order-desk-th-central-a-1, order-desk-th-central-b-0" are killed and return after 4000 ms | 8000 ms host "order-desk-th-central-c-0" leaves |
      | a paused host resumes after its domain went out  | pause      | paddleworks | 1000 | 12   | 2000 ms host "order-desk-th-central-a-0" is paused for 6000 ms | 3000 ms "th-central-a" goes "out" |
      | a domain goes out during a network cut           | cut        | paddleworks | 1000 | 13   | 2000 ms "th-central-a" and "th-central-b" are cut for 5000 ms | 3000 ms "th-central-a" goes "out" |
      | an entry with a stale view while a domain leaves | stale      | kalnins     | 1500 | 14   | 2000 ms the view of "reports-valmiera-0" is frozen for 3500 ms | 2500 ms "cesis" goes "out" |
      | two workers turn cold at once                    | cold       | kalnins     | 1500 | 15   | 3000 ms worker "reports-cesis-0" turns cold | 3000 ms worker "reports-cesis-1" turns cold |
      | a host is killed while a domain is out           | return     | kalnins     | 1500 | 16   | 2000 ms "sigulda" goes "out" | 6000 ms hosts "reports-cesis-0" are killed and return after 2000 ms |
      | a pause and several kills at once                | pause_herd | kalnins     | 1500 | 17   | 3000 ms host "reports-cesis-0" is paused for 4000 ms | 3000 ms hosts "reports-valmiera-0, reports-valmiera-1" are killed and return after 3000 ms |

  Scenario: a request that crashes its worker is sent repeatedly
    Given the "paddleworks" fleet with seed 21, warm
    And 800 requests each second for 20000 ms
    When after 1000 ms a request that crashes its worker is sent 8 times
    And the session has ended
    Then no promise is broken
    And requests for "/catalogue/poison" crashed workers at most 2 times
    And requests other than "/catalogue/poison" were never refused as "crash_suspect"
    And the transcript equals the golden file "serving_crash"
