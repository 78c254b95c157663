Feature: What a node knew holds until a restored store has caught up
  "rank N" is a record that is renewed, "version N" a value that is not renewed.

  # Guards against going back to older records, versions and evacuations that a restored
  # store has again, and against dropping those that it lacks until they are written again.
  Scenario Outline: a node knows <known>, the restored store has <found>
    Given a replica that knew <known>
    When its store is restored and has <found>
    Then the value in force is <first>
    And <after hold> is in force when the hold for absent items has passed
    And <later> is in force when all records have been renewed

    Examples:
      | known           | found     | first     | after hold | later     |
      | rank 5          | rank 5    | rank 5    | rank 5     | rank 5    |
      | rank 5          | rank 6    | rank 6    | rank 6     | rank 6    |
      | rank 5          | rank 4    | rank 5    | rank 5     | rank 4    |
      | rank 5          | no rank   | rank 5    | rank 5     | no rank   |
      | rank 5          | nothing   | rank 5    | nothing    | nothing   |
      | removed rank 5  | rank 5    | nothing   | nothing    | rank 5    |
      | removed rank 5  | rank 4    | nothing   | nothing    | rank 4    |
      | removed rank 5  | rank 6    | rank 6    | rank 6     | rank 6    |
      | removed rank 5  | nothing   | nothing   | nothing    | nothing   |
      | version 5       | version 4 | version 5 | version 5  | version 5 |
      | version 5       | version 6 | version 6 | version 6  | version 6 |
      | version 5       | no rank   | version 5 | version 5  | version 5 |
      | version 5       | nothing   | version 5 | version 5  | version 5 |
      | no rank         | nothing   | no rank   | nothing    | nothing   |
      | removed no rank | no rank   | nothing   | no rank    | no rank   |
      | nothing         | rank 4    | rank 4    | rank 4     | rank 4    |

  # Guards against taking a late or repeated writing for the latest one.
  Scenario Outline: a node knows <known>, the restored store has <found>, then <written>
    Given a replica that knew <known>
    When its store is restored and has <found>
    And its owner writes <written>
    Then the value in force is <used>

    Examples:
      | known           | found     | written   | used      |
      | rank 5          | rank 3    | rank 4    | rank 5    |
      | rank 5          | rank 3    | rank 5    | rank 5    |
      | rank 5          | rank 3    | rank 6    | rank 6    |
      | rank 5          | rank 3    | nothing   | nothing   |
      | rank 5          | nothing   | rank 4    | rank 5    |
      | rank 5          | nothing   | rank 6    | rank 6    |
      | removed rank 5  | rank 3    | rank 4    | nothing   |
      | removed rank 5  | rank 3    | rank 6    | rank 6    |
      | removed rank 5  | rank 3    | nothing   | nothing   |
      | version 5       | version 3 | version 4 | version 5 |
      | version 5       | version 3 | version 6 | version 6 |
      | no rank         | nothing   | no rank   | no rank   |
      | removed no rank | no rank   | no rank   | no rank   |
      | removed no rank | no rank   | nothing   | nothing   |

  # Guards against using a worker that leaves, since the store carried out one of its
  # earlier writes late.
  Scenario Outline: a node knows <known>, then the store carries out <written>
    Given a replica that knew <known>
    When its owner writes <written>
    Then the value in force is <first>
    And <later> is in force when all records have been renewed

    Examples:
      | known           | written   | first     | later     |
      | rank 5          | rank 6    | rank 6    | rank 6    |
      | rank 5          | rank 5    | rank 5    | rank 5    |
      | rank 5          | rank 4    | rank 5    | rank 4    |
      | rank 5          | no rank   | no rank   | no rank   |
      | no rank         | rank 4    | rank 4    | rank 4    |
      | removed rank 5  | rank 4    | nothing   | rank 4    |
      | removed rank 5  | rank 5    | rank 5    | rank 5    |
      | removed rank 5  | rank 6    | rank 6    | rank 6    |
      | removed no rank | rank 4    | rank 4    | rank 4    |
      | version 5       | version 4 | version 5 | version 5 |

  # Guards against a late write that counts once the owner has written or left.
  Scenario Outline: a late write after <known>, then <written>
    Given a replica that knew <known>
    When its owner writes rank 3
    And its owner writes <written>
    Then the value in force is <used>
    And <later> is in force when all records have been renewed

    Examples:
      | known          | written | used    | later   |
      | rank 5         | rank 4  | rank 5  | rank 4  |
      | rank 5         | rank 6  | rank 6  | rank 6  |
      | rank 5         | nothing | nothing | nothing |
      | removed rank 5 | rank 4  | nothing | rank 4  |
      | removed rank 5 | rank 6  | rank 6  | rank 6  |

  # Guards against a late write that counts since it came with the one that it precedes.
  Scenario: a write and an earlier one are read at once
    Given a replica that knew rank 5
    When the store carries out rank 7 and rank 6 before the node reads it
    Then the value in force is rank 7

  # Guards against a removal that a late write hides at the next restoration.
  Scenario: what a late write undid stays gone if the store is restored
    Given a replica that knew removed rank 5
    When its owner writes rank 4
    And its store is restored and has rank 4
    Then the value in force is nothing

  # Guards against hiding a live record since its key had been removed two eras before.
  Scenario: a removal is forgotten once a later writing is in force
    Given a replica that knew removed rank 5
    When its store is restored and has rank 6
    And its store is restored and has rank 4
    Then the value in force is rank 6

  # Guards against ending a hold while the store is away and no owner can write to it.
  Scenario: a hold begins anew while the store cannot be reached
    Given a replica that knew no rank
    When its store is restored and has nothing
    And the store cannot be reached for 60 s
    Then the value in force is no rank
    And nothing is in force when the hold for absent items has passed again

  # Guards against forgetting what was retained at the next restoration.
  Scenario: what is known holds if the store is restored once more
    Given a replica that knew rank 5
    When its store is restored and has rank 4
    And its store is restored and has rank 3
    Then the value in force is rank 5
    When its owner writes rank 4
    Then the value in force is rank 5

  # Guards against forgetting a removal at the next restoration.
  Scenario: what was removed stays gone if the store is restored once more
    Given a replica that knew removed rank 5
    When its store is restored and has rank 4
    And its owner writes nothing
    And its store is restored and has rank 5
    Then the value in force is nothing

  # Guards against a version that goes back while the store is written and restored.
  Scenario: generated series of writes and restored copies
    When 300 generated series of 40 events are followed
    Then no version that the node used was lower than one before
    And 30 s after the last event the node used the store's records
