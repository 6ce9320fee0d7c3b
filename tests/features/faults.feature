Feature: Invariants hold under faults at every injection point

  Scenario Outline: A fault at a step breaks no invariant
    # Checks the ten invariants and recovery for a sample of the fault matrix;
    # `lycheestair measure faults` runs the other cells.
    Given a fleet of node processes under load
    When <fault> occurs at the injection point <point>
    Then no invariant is violated and a new note is activated

    Examples:
      | point                   | fault            |
      | note_accepted           | ANSWER_LOST      |
      | note_accepted           | KILLED           |
      | configuration_pushed    | CUT_BOTH_WAYS    |
      | configuration_activated | STALE_READS      |
      | move_stepped            | KILLED           |
      | move_taken_back         | STORE_DOWN       |
      | request_admitted        | KILLED           |
      | request_sent            | PAUSED           |
      | request_recorded        | CRASHING_REQUEST |
      | node_draining           | HERD_RESTART     |
      | lease_renewed           | PAUSED           |
      | lease_taken             | RACING_OPERATORS |
