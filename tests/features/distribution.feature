Feature: Every node activates the newest accepted generation

  Scenario: A change reaches all nodes
    Given a fleet of 9 nodes
    When node n03 accepts a change
    Then the change is in force at all running nodes
    And the refreshed reports of each node show no lagging node

  Scenario: The node that accepted a change is killed before distributing it
    Given a fleet of 6 nodes
    When node n03 accepts a change and is killed before distributing it
    Then the change is in force at all running nodes

  Scenario: A feeder is killed
    Given a fleet of 6 nodes
    When the feeder of malta is killed
    And node n00 accepts a change
    Then the change is in force at all running nodes
    And malta has another feeder

  Scenario: The store fails right after a change was accepted
    Given a fleet of 9 nodes
    When node n03 accepts a change and the store goes down
    Then the change is in force at all running nodes

  Scenario: A region reaches its peers but not the store
    Given a fleet of 6 nodes
    When the store is down for malta
    And node n00 accepts a change
    Then the change is in force at all running nodes

  Scenario: A region is partitioned while a change is accepted
    Given a fleet of 6 nodes connected by links
    When nodes n02, n05 are partitioned from the others
    And the store is down for malta
    And node n00 accepts a change
    Then the change is in force at nodes n00, n01, n03, n04
    When the network heals
    Then the change is in force at all running nodes

  Scenario: Most of the fleet restarts while the store is down
    Given a fleet of 9 nodes
    When node n00 accepts 20 changes
    Then the change is in force at all running nodes
    When the store goes down
    And all nodes but n08 are killed
    And all killed nodes are restarted at the same time
    Then the change is in force at all running nodes
    And all nodes report a completed boot

  Scenario: The whole fleet restarts
    Given a fleet of 9 nodes
    When node n00 accepts 20 changes
    And all nodes are killed
    And all killed nodes are restarted at the same time
    Then the change is in force at all running nodes
    And all nodes report a completed boot

  Scenario: A burst of changes converges to the newest one
    Given a fleet of 9 nodes
    When node n00 accepts 40 changes
    Then the change is in force at all running nodes

  Scenario: The store answers with an older head
    Given a fleet of 6 nodes
    When node n00 accepts 2 changes
    Then the change is in force at all running nodes
    When the store serves the previous head
    And the feeder of malta is killed
    And malta has another feeder
    Then the change is in force at all running nodes

  Scenario: A node that reaches neither peers nor the store reports a failed boot
    Given a node that can reach neither peers nor the store
    Then its boot reports that neither peers nor the store were reached
