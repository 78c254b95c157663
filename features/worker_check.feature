Feature: The gate detects that a request crashed its backend server

  # Guards against a crash that is not recorded since a check was running already, so that
  # the request that caused it crashes the backend server for as long as it comes.
  Scenario Outline: a request crashes the backend server <moment>
    Given a gate whose backend server is cold for 1500 ms when it comes back
    When a request crashes the backend server, and another one <moment>
    Then 2 crashes are reported, each with the request that caused it

    Examples:
      | moment                                    |
      | as soon as it is reachable again          |
      | while its health is being read            |
      | between two readings of its health        |
      | just before it is warm                    |
      | after it has become warm                  |

  # Guards against a crash that is recorded at most once in each cold start.
  Scenario: a request crashes the backend server after each of its starts
    Given a gate whose backend server is cold for 1500 ms when it comes back
    When 4 requests crash it, each 400 ms after it is reachable
    Then 4 crashes are reported, each with the request that caused it

  # Guards against an answer that clears the request which crashed the backend server, as
  # it was sent before the crash and is handled between the crash and its detection.
  Scenario Outline: an answer to a request that was sent <moment> a crashing one was lost
    Given a gate in virtual time with a request that crashes its backend server
    When an answer to a request that was sent <moment> the loss arrives after it
    And the backend server is found down
    Then the crashing request is <verdict>

    Examples:
      | moment | verdict      |
      | before | reported     |
      | after  | not reported |
