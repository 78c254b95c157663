Feature: Real processes that are killed, stopped or shut down while they serve

  Scenario: a gate is killed while it runs reads
    Given an entry whose reads run on two other hosts
    When one of the two gates is killed while it runs reads
    Then every read is answered with 200

  Scenario: a worker is killed while it runs a keyed write
    Given an entry whose reads run on two other hosts
    When the worker that runs a keyed write is killed, and the write is sent again
    Then both answers say that it may have run, and no other worker ran it

  Scenario: a stopped gate neither blocks callers nor acts on its outdated view
    Given an entry whose reads run on two other hosts
    When one of the two gates is stopped while reads are made
    Then every read gets an answer, and the later ones get 200
    When its failure domain is taken out and the gate continues
    Then it catches up, and its worker gets no new work

  Scenario: a node that gets SIGTERM finishes its running requests
    Given an entry whose reads run on two other hosts
    When a gate gets SIGTERM while it runs a slow read
    Then the read is answered with 200 and the node exits with 0

  Scenario: a second SIGTERM ends a node at once
    Given an entry whose reads run on two other hosts
    When a gate gets SIGTERM twice while it runs a slow read
    Then the node has exited before the read could end

  Scenario: the platform is down while requests are served
    Given an entry whose reads run on two other hosts
    When the platform is killed
    Then reads and keyed writes are answered with 200
    When the platform restarts and a new version is published
    Then the new version is in force everywhere

  Scenario: a caller that stops reading a large answer occupies neither memory nor a slot
    Given an entry whose reads run on two other hosts
    When a caller requests 64 MB and stops reading
    Then no node grows by more than 24 MB, and the worker's slot is free again
