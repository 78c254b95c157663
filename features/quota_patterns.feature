Feature: Quotas of workspaces under patterns of load, without a network
  A loop of 10 ms ticks moves the messages between entries and homes. The bound is that
  of a window of 5 s, an overage of 0.25 and a slack of 20.

  # Guards against quotas that are refused, or exceeded, where demand is spread evenly.
  Scenario Outline: even demand over <entries> entries
    Given <entries> entries and a workspace with <rate> requests a second and a burst of <burst>
    When demand of <factor> times the rate arrives at all entries for <seconds> s
    Then the bound holds in every window
    And at least 0.95 of what demand and quota allow is served from 2 s on

    Examples:
      | entries | rate | burst | factor | seconds |
      | 3       | 100  | 50    | 1.5    | 12      |
      | 67      | 100  | 50    | 1.5    | 12      |
      | 67      | 100  | 50    | 0.8    | 12      |
      | 300     | 100  | 50    | 1.5    | 12      |
      | 1000    | 100  | 50    | 1.5    | 12      |
      | 12000   | 100  | 50    | 1.5    | 8       |
      | 60      | 2    | 2     | 0.8    | 60      |
      | 60      | 2    | 2     | 3      | 60      |
      | 60      | 1    | 0     | 3      | 60      |
      | 60      | 20   | 10    | 20     | 20      |

  # Guards against shares that starve a workspace whose callers all reach one entry.
  Scenario Outline: all demand at one of <entries> entries
    Given <entries> entries and a workspace with <rate> requests a second and a burst of <burst>
    When demand of 1.5 times the rate arrives at one entry for <seconds> s
    Then the bound holds in every window
    And at least 0.95 of what demand and quota allow is served from 2 s on

    Examples:
      | entries | rate | burst | seconds |
      | 67      | 100  | 50    | 12      |
      | 67      | 2    | 2     | 60      |
      | 1000    | 100  | 50    | 12      |

  # Guards against tokens that stay with an entry that demand has left.
  Scenario Outline: demand moves to another entry each second
    Given 67 entries and a workspace with <rate> requests a second and a burst of <burst>
    When demand of 1.5 times the rate moves to another entry each second for <seconds> s
    Then the bound holds in every window
    And at least 0.95 of what demand and quota allow is served from 2 s on

    Examples:
      | rate | burst | seconds |
      | 100  | 50    | 12      |
      | 5    | 5     | 60      |

  # Guards against requests of quiet workspaces that wait for a busy one.
  Scenario: one workspace at 20 times its quota beside 71 quiet ones
    Given 12 entries and 72 workspaces with 10 requests a second and a burst of 10
    When one workspace has demand of 20 times its rate and the others of 0.5 times for 8 s
    Then the bound holds in every window
    And at least 0.99 of the quiet workspaces' requests are served from 2 s on

  # Guards against fallback shares that exceed the bound together.
  Scenario Outline: half of the entries reach no home
    Given 60 entries and a workspace with <rate> requests a second and a burst of <burst>
    When half of the entries lose contact and demand of 3 times the rate arrives at all for 15 s
    Then the bound holds in every window

    Examples:
      | rate | burst |
      | 100  | 50    |
      | 2    | 0     |

  # Guards against two homes that grant the whole rate each.
  Scenario: a partition with a home on each side
    Given 60 entries and a workspace with 100 requests a second and a burst of 50
    When the fleet is cut in halves, a second home comes up and demand of 3 times the rate arrives at all for 20 s
    Then the bound holds in every window
    And at least 0.7 of what demand and quota allow is served from 15 s on

  # Guards against a restart that renews what an entry or a home may use.
  Scenario: each entry restarts in turn
    Given 20 entries and a workspace with 100 requests a second and a burst of 50
    When each entry restarts in turn under demand of 2 times the rate for 20 s
    Then the bound holds in every window

  # Guards against leases and tokens of the earlier limit that outlive it.
  Scenario: a limit is lowered tenfold under load
    Given 30 entries and a workspace with 200 requests a second and a burst of 100
    When the limit is lowered tenfold after 6 s under demand of 2 times the rate for 16 s
    Then the lowered bound holds in every window that starts 1 s after the change

  # Guards against an entry that takes the others' tokens by misreporting its demand.
  Scenario: an entry claims a thousand times its demand
    Given 10 entries and a workspace with 100 requests a second and a burst of 20
    When one entry claims a thousand times its demand and the others ask for 0.5 times the rate for 10 s
    Then the bound holds in every window
    And at least 0.95 of the other entries' requests are served from 2 s on

  # Guards against tokens that are counted twice, or lost for good.
  Scenario: a tenth of the messages is lost and a tenth is duplicated
    Given 67 entries and a workspace with 100 requests a second and a burst of 50
    When messages are lost and duplicated under demand of 2 times the rate for 12 s
    Then the bound holds in every window
    And at least 0.8 of what demand and quota allow is served from 2 s on

  # Guards against tokens for time that did not pass, or passed twice.
  Scenario Outline: the clock of <where> steps by <step_ms> ms
    Given 10 entries and a workspace with 50 requests a second and a burst of 20
    When the clock of <where> steps by <step_ms> ms under demand of 2 times the rate for 12 s
    Then the bound holds in every window

    Examples:
      | where | step_ms |
      | home  | 3000    |
      | home  | -3000   |
      | entry | 3000    |
      | entry | -3000   |

  # Guards against tokens lost with requests that were refused without having run.
  Scenario: requests within the quota are refused and their tokens are returned
    Given 10 entries and a workspace with 50 requests a second and a burst of 20
    When half of the admitted requests are refused 100 ms later under demand of 4 times the rate for 12 s
    Then the bound holds in every window
    And at least 0.9 of what demand and quota allow is served from 2 s on

  # Guards against two homes at once while nodes learn of a change at different times.
  Scenario: the home changes while host lists lag by up to 2 s
    Given 60 entries and a workspace with 100 requests a second and a burst of 50
    When the home changes, and each node learns of it within 2 s, under demand of 3 times the rate for 16 s
    Then the bound holds in every window
    And at least 0.95 of what demand and quota allow is served from 12 s on

  # Guards against shares of a divided fleet that exceed the whole, and against a quota
  # that shrinks since hosts left in order.
  Scenario Outline: <gone> of 60 hosts <leave>
    Given a node that knows 60 live hosts
    When <gone> of them <leave>
    Then it may grant <share> of a quota, and all after 601 s

    Examples:
      | gone | leave            | share |
      | 15   | vanish           | 1.0   |
      | 24   | vanish           | 0.7   |
      | 30   | vanish           | 0.5   |
      | 45   | vanish           | 0.0   |
      | 30   | leave and vanish | 1.0   |
      | 30   | do not answer    | 0.5   |
      | 36   | do not answer    | 0.3   |

  # Guards against entries that wait for tokens which no home grants, in place of their
  # fallback share.
  Scenario Outline: a home that may grant <share> of a quota of 1 a second tells entries so
    Given a home that is asked for a token of a workspace with 1 requests a second
    When it may grant <share> of the quota
    Then its answer says that it <serves>

    Examples:
      | share | serves         |
      | 1.0   | serves         |
      | 0.3   | does not serve |
      | 0.0   | does not serve |

  # Guards against a new home that grants tokens while the earlier one may do so too.
  Scenario Outline: a new home hears that the earlier one <answer>
    Given a host that becomes the home of a workspace of another host
    When the other host <answer>
    Then it grants tokens from <start_ms> ms on

    Examples:
      | answer                           | start_ms |
      | gives no answer                  | 3000     |
      | served until then                | 400      |
      | served until then, to a third    | 3000     |
      | is the only one and did not serve | 400      |

  # Guards against times to retry at which there is still no token.
  Scenario Outline: callers refused in a burst return at the time that they were told
    Given <entries> entries and a workspace with 100 requests a second and a burst of 50
    When 300 requests arrive at once at <at> of them, and refused ones return when told
    Then at least 0.9 of those that return are admitted
    And the bound holds in every window

    Examples:
      | entries | at |
      | 10      | 1  |
      | 10      | 10 |

  # Guards against a link that is closed since a message has more returned leases than
  # its receiver takes.
  Scenario: an entry returns tokens of more leases than a message carries
    Given an entry with a returned token of each of 150 leases
    When the home decodes its next message
    Then the message has the latest 100 of them

  # Guards against errors other than "frame_invalid" for messages without their fields.
  Scenario: a message about quotas lacks its fields
    Given messages about quotas without any field
    Then each is refused as "frame_invalid"

  # Guards against a request that is refused since the home did not serve long ago.
  Scenario Outline: the home <state>, and serves again when the next request comes
    Given an entry without a fallback share whose home <state>
    When its next request comes 10 s later
    Then it gets a token of the home

    Examples:
      | state           |
      | does not answer |
      | does not serve  |

  Scenario: the home still does not answer when the next request comes
    Given an entry without a fallback share whose home does not answer
    When its next request comes 10 s later and gets no answer
    Then it is refused after 100 ms

  # Guards against a request that is refused while a token is on its way back to the home.
  Scenario: a request comes while the entry returns a token that was not used
    Given an entry that was told to wait 2 s for more than the one token that it has
    When it returns the token unused after its lease and a request comes before the answer
    Then the request waits for the answer, and a second one is refused
