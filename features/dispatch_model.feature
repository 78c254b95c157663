Feature: Whatever is lost, late or restarted, a request runs at most once and "not run" is true
  Series of events are generated and are the same in each run: sends that are lost before
  or after a gate took them, answers that are lost, rejections, failures, restarted,
  leaving and unreachable workers, and requests that expire in a queue.

  Scenario: generated series of events
    When 150 generated series of 60 events are played on the decisions of entries and gates
    Then no request that is not idempotent has run twice
    And no request that was refused as not run has run

  Scenario Outline: a wrong decision is found: <decision>
    Given decisions of which one is wrong: "<decision>"
    When 40 generated series of 60 events are played on the decisions of entries and gates
    Then a request was found that <finding>

    Examples:
      | decision                                   | finding                          |
      | a lost answer is retried                   | ran twice                        |
      | an earlier attempt that ran is forgotten   | was refused as not run and ran   |
      | a lost worker is taken for one not reached | was refused as not run and ran   |
