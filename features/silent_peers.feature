Feature: A node that is silent for a while keeps the work that cannot be repeated
  A frozen or slow node sends nothing for seconds and then goes on.

  Scenario: a request that may run only once waits for a silent node
    Given an entry with a request at a gate that may not be sent again
    When the gate is silent for 5 ticks and then answers
    Then the answer arrives
    And new requests use another connection

  Scenario: a link whose ping is unanswered gets no new requests and keeps its work
    Given an entry with a request at a gate that may be sent again
    When the gate is silent for 2 ticks and then answers
    Then the answer arrives
    And new requests use another connection

  Scenario: a request that may be sent again is given up, and the gate is told
    Given an entry with a request at a gate that may be sent again
    And another one that may not
    When the gate is silent for 5 ticks and then answers
    Then the first request fails as "peer_lost" while the second one is answered
    And the gate is told to cancel the first request

  Scenario: a running request goes on while its entry is silent
    Given a gate that runs a request for an entry
    When the entry is silent for 5 ticks and the request then ends
    Then the entry gets the answer

  Scenario: a node that stays silent is given up
    Given an entry with a request at a gate that may not be sent again
    When the gate is silent for 30 ticks
    Then the silent gate's request fails as "peer_lost"
    And the connection ended as "peer_unresponsive"
