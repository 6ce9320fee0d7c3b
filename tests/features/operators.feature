Feature: Operators apply notes and query the state of the fleet

  Background:
    Given a running node

  Scenario: An applied note becomes active
    When the operator applies note "n1" with service "a"
    Then the command succeeds and prints "accepted as generation 1"
    When the operator runs "status"
    Then the command succeeds and prints "n1: generation 1, in force at 1 of 1 nodes"

  Scenario: Applying the same note again has no effect
    Given note "n1" with service "a" was applied
    When the operator applies note "n1" with service "a"
    Then the command succeeds and prints "accepted as generation 1"

  Scenario: A note id can't be reused for a different note
    Given note "n1" with service "a" was applied
    When the operator applies note "n1" with service "b"
    Then the command fails with code 1 and prints "id was used before"

  Scenario: A note whose base is no longer the active note is not applied
    Given note "n1" with service "a" was applied
    And note "n2" with service "b" was applied
    When the operator applies note "n3" based on "n1"
    Then the command fails with code 3 and prints "note n2 was accepted first as generation 2"

  Scenario: A note is checked without being applied
    When the operator checks note "n1" with service "a"
    Then the command succeeds and prints "can be applied to generation 0"
    When the operator runs "note history"
    Then the command succeeds and prints nothing

  Scenario: A check reports all errors of a note
    When the operator checks a note with two routes to missing services
    Then the command fails with code 1 and prints "missing service 'x'"
    And it also prints "missing service 'y'"

  Scenario: Applying a note while the store is down reports that the store is unavailable
    Given the store is down
    When the operator applies note "n1" with service "a"
    Then the command fails with code 4 and prints "store is down"

  Scenario: The status is available while the store is down
    Given note "n1" with service "a" was applied
    And the store is down
    When the operator runs "status"
    Then the command succeeds and prints "store does not answer"
    And it also prints "n1: generation 1, in force at 1 of 1 nodes"

  Scenario: Lagging and unreachable nodes are listed
    Given note "n1" with service "a" was applied
    And node "n2" is alive at generation 0
    And node "n3" is dead
    When the operator runs "status"
    Then the command succeeds and prints "n1: generation 1, not yet in force at 1 of 3 nodes"
    And it also prints "lags: n2"
    And it also prints "unreachable: n3"

  Scenario: An isolated failure domain is reported
    Given node "n3" is dead
    When the operator runs "status"
    Then the command succeeds and prints "failure domain is cut off from all others"

  Scenario: The history survives the loss of every instance
    Given note "n1" with service "a" was applied
    And a finished move "m9" is stored
    And all nodes are replaced
    When the operator runs "note history"
    Then the command succeeds and prints "n1: generation 1"
    When the operator runs "status --move m9"
    Then the command succeeds and prints "m9: a from v1 to v2: done, at 2027-01-15T08:00:00Z"

  Scenario Outline: The state of a move is reported
    Given a move in state "<state>"
    When the operator runs "status --move m1"
    Then the command succeeds and prints "<text>"

    Examples:
      | state      | text                                                           |
      | pending    | pending, share 0% of 100%, next step to 0.5% by 2027-01-15T07:59:00Z at the latest, waits for endpoints of v2, deadline |
      | moving     | moving, share 5% of 100%, next step to 7.07% by 2027-01-15T08:00:27Z at the latest, waits for evidence |
      | watching   | watching, share 100% of 100%                                   |
      | done       | done, at 2027-01-15T08:00:00Z                                  |
      | taken_back | taken back, at 2027-01-15T08:00:00Z, because 5xx answers, 7 calls answered by v2 |
      | refused    | refused, at 2027-01-15T08:00:00Z, because 5xx answers          |
      | cancelled  | cancelled, at 2027-01-15T08:00:00Z                             |

  Scenario: An unknown move is not found
    When the operator runs "status --move m1"
    Then the command fails with code 6 and prints "no move has the id 'm1'"

  Scenario: A suspected request is listed and released once
    When the operator runs "suspects list"
    Then the command succeeds and prints "f1: POST on orders, 2 crashes, refused"
    When the operator runs "suspects release f1"
    Then the command succeeds and prints "f1: released"
    When the operator runs "suspects release f1"
    Then the command fails with code 6 and prints "no suspect has fingerprint 'f1'"

  Scenario Outline: Replies are available as JSON
    Given note "n1" with service "a" was applied
    When the operator runs "<command> --json"
    Then the command succeeds and prints JSON with "<key>"

    Examples:
      | command       | key               |
      | status        | newest_generation |
      | note history  | notes             |
      | suspects list | suspects          |
