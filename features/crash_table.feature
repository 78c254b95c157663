Feature: A gate counts crashes by request, and refuses requests that crash workers

  # Guards against answers to one caller that clear the request of another one, which is
  # equal but for its caller, and against refusing both for the crashes of one.
  Scenario Outline: the request of one caller crashes workers while <other>
    Given a table of crashes
    When <other>
    And the request of caller "a" crashes 2 workers
    Then the request of caller "a" is refused
    And the request of caller "b" is allowed

    Examples:
      | other                                                   |
      | the request of caller "b" is answered                   |
      | the request of caller "b" is answered 200 s before      |
      | nobody else sends it                                    |
      | the request of caller "b" runs at one of them           |

  # Guards against two crashes for each caller of a request that crashes workers whoever
  # sends it.
  Scenario: a request crashes workers whoever sends it
    Given a table of crashes
    When the request of caller "a" crashes 1 workers
    And the request of caller "b" crashes 1 workers
    Then the request of caller "a" is refused
    And the request of caller "b" is refused
    And the request of caller "c" is refused
    And another request of caller "a" is allowed

  Scenario: an answer clears the crashes of its request
    Given a table of crashes
    When the request of caller "a" crashes 1 workers
    And the request of caller "a" is answered
    And 20 s go by for the table
    And the request of caller "a" crashes 1 workers
    Then the request of caller "a" is allowed

  Scenario: crashes are forgotten after a while
    Given a table of crashes
    When the request of caller "a" crashes 2 workers
    And 301 s go by for the table
    Then the request of caller "a" is allowed

  # Guards against a table that grows with the callers, or the requests, of a flood.
  Scenario Outline: <count> requests crash workers, each by another <part>
    Given a table of crashes
    When <count> requests that differ in their <part> crash a worker
    Then the table holds at most <limit> of them
    And the last of them is refused once it has crashed another worker

    Examples:
      | count | part    | limit |
      | 3000  | path    | 1000  |
      | 3000  | caller  | 16    |

  # Guards against a gate that starts, or was out of reach, and lets a request crash two
  # workers more that all other gates refuse.
  Scenario: a gate without reports is told by another one
    Given a table of crashes
    And an empty table of another gate
    When the request of caller "a" crashes 2 workers
    And 30 s go by for the table
    And the other gate is told what the table knows
    Then the other gate refuses the request of caller "a"
    When 271 s go by for the table
    Then the other gate allows the request of caller "a"

  # Guards against one crash that counts as two, since its report comes twice.
  Scenario: a gate is told of the same crash again
    Given a table of crashes
    And an empty table of another gate
    When the request of caller "a" crashes 1 workers
    And the other gate is told what the table knows
    And 5 s go by for the table
    And the other gate is told what the table knows
    Then the other gate allows the request of caller "a"
    When the request of caller "a" crashes 1 workers
    And the other gate is told what the table knows
    Then the other gate refuses the request of caller "a"

  # Guards against old reports that undo what an answer has shown since.
  Scenario: a gate that has an answer is told of crashes before it
    Given a table of crashes
    And an empty table of another gate
    When the request of caller "a" crashes 2 workers
    And 20 s go by for the table
    And the other gate has an answer to the request of caller "a"
    And 60 s go by for the table
    And the other gate is told what the table knows
    Then the other gate allows the request of caller "a"

  # Guards against a node that serves before it knows what its peers refuse, and against
  # one that waits for peers which cannot tell it.
  Scenario Outline: a gate that asks <peers> peers, of which <what>
    Given a gate that asks <peers> peers which requests crash workers
    When <what>
    Then after <length_ms> ms it <verdict>

    Examples:
      | peers | what                                     | length_ms | verdict          |
      | 3     | nothing happens                          | 299       | refuses requests |
      | 3     | nothing happens                          | 300       | takes requests   |
      | 3     | peer 1 answers                           | 10        | takes requests   |
      | 3     | peer 1 answers, still asking itself      | 10        | refuses requests |
      | 3     | all peers answer, still asking           | 10        | takes requests   |
      | 3     | all peers are out of reach               | 10        | takes requests   |
      | 0     | nothing happens                          | 0         | takes requests   |

  # Guards against a copy of a keyed request that is told "not run", though it has run.
  Scenario: a copy of a keyed request comes while its gate asks
    Given a gate at which a keyed request has run
    When it asks a peer which requests crash workers
    Then a copy of the keyed request gets its answer
    And another keyed request is refused as "not_ready"
