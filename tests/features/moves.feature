Feature: Moves shift traffic to a new version by a deadline or roll back

  Scenario: A good version has all traffic by the deadline
    Given a note that moves all traffic within 300 seconds
    When 300 seconds pass
    Then the new version has all traffic

  Scenario: A failing version gets only a small share
    Given a note that moves all traffic within 300 seconds
    And the new version fails half of its calls
    When 60 seconds pass
    Then the move is rolled back
    And the new version answered at most 1 percent of the calls
    And the new version is barred

  Scenario: A version that starts to fail late is rolled back
    Given a note that moves all traffic within 300 seconds
    When 290 seconds pass
    And the new version fails half of its calls
    And 10 seconds pass
    Then the move is rolled back
    And the new version is barred

  Scenario: A fault of both versions causes no rollback
    Given a note that moves all traffic within 300 seconds
    And both versions fail half of their calls
    When 300 seconds pass
    Then the move is not rolled back

  Scenario: An operator cancels a move
    Given a note that moves all traffic within 300 seconds
    When 200 seconds pass
    And a note withdraws the move
    And 60 seconds pass
    Then the old version has all traffic
