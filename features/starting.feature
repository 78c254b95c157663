Feature: Callers of a node that starts

  Scenario: callers can connect before most of the node is loaded
    Then the command of the daemon loads neither the event loop nor the node

  Scenario: a caller that connects before the node is ready is served once it is
    Given an edge whose addresses are bound while its node starts
    When a request is sent, and the edge waits until the node is ready
    Then the request is served only after that

  Scenario: callers of a node that does not become ready are not kept waiting
    Given an edge whose addresses are bound while its node starts
    When a request is sent, and the edge waits although the node does not become ready
    Then the request is served all the same

  Scenario: a caller that leaves before the node starts is not served
    Given an edge whose addresses are bound while its node starts
    When a request is sent whose caller leaves, and the edge accepts callers then
    Then the request is not passed on

  Scenario: an address in use does not keep the other one
    Given a node's settings whose internal address is in use
    Then binding its addresses fails and names "internal_listen"
    And its public address is free again

  # Guards against a SIGHUP that ends a node because it arrives during the node's start.
  Scenario: a node whose settings change while it starts goes on and reads them
    Given a node's settings in a file that nothing else reads
    When the node starts, and the log level changes with a SIGHUP once callers can connect
    Then the node runs and has read the log level

  # Guards against the same while the daemon's libraries are loaded.
  Scenario: a node gets a SIGHUP before it has loaded its libraries
    Given a node's settings in a file that nothing else reads
    When the node starts, and gets a SIGHUP as soon as it loads a library
    Then the node runs

  # Guards against a longer time before SIGHUP is ignored.
  Scenario: little is loaded before SIGHUP is ignored
    Then the entry point of the daemon loads no library and none of its other modules
    And the command of the deploy file starts the interpreter without its site

  Scenario: the generated messages are those of the definitions
    Then generating the messages again changes nothing
    And a message without its lists has lists of its own
