Feature: At most one home runs a key, however the views of the hosts differ

  Scenario Outline: random views, joins, departures and clocks, seed <seed>
    Given a service whose hosts start, leave and learn of each other at random, seed <seed>
    When 400 keys are each sent several times through entries with different views
    Then no key ran at two gates
    And most keys ran

    Examples:
      | seed |
      | 1    |
      | 7    |
      | 14   |
      | 16   |
      | 56   |

  Scenario: gates that do not wait for acknowledgements run a key twice
    Given gates that do not wait for acknowledgements
    And a service whose hosts start, leave and learn of each other at random, seed 1
    When 400 keys are each sent several times through entries with different views
    Then some key ran at two gates

  Scenario: a key issued before its home was confirmed is not run
    Given a home that started at 10000 ms and is acknowledged at 12000 ms
    When keys issued at these times arrive, then it decides
      | issued_ms | decision       |
      | 9000      | OutcomeUnknown |
      | 10400     | OutcomeUnknown |
      | 11000     | NotYetHome     |
      | 12400     | NotYetHome     |
      | 12600     | ConfirmedHome  |

  Scenario: a key is neither run again nor forgotten within its resend window
    Given a table of keys with a window of 600000 ms
    When a key issued at 1000 ms runs and is answered at 1500 ms
    Then at 600900 ms the key is "Replay"
    And at 601100 ms the key is "Replay"
    And a key issued 600 ms in the future is "IssuedInFuture"
    And the same key with another body is "Reused"
    And after 50000 further keys at 602100 ms the key is "OutcomeUnknown"
