Feature: Nodes agree on the members of the fleet

  Scenario: A killed node is declared dead
    Given a fleet of 6 nodes
    When node n04 is killed
    Then all other nodes see node n04 as dead

  Scenario: A node that leaves is not declared dead
    Given a fleet of 6 nodes
    When node n04 leaves
    Then all other nodes see node n04 as left

  Scenario: A restarted node replaces the dead one at its address
    Given a fleet of 6 nodes
    When node n04 is killed
    Then all other nodes see node n04 as dead
    When node n04 is restarted
    Then all other nodes see node n04 as alive

  Scenario: A node restarted with a clock that is behind replaces the dead one
    Given a fleet of 6 nodes
    When node n04 is killed
    Then all other nodes see node n04 as dead
    When node n04 is restarted with a clock that is one hour behind
    Then all other nodes see node n04 as alive

  Scenario: An endpoint change reaches the fleet
    Given a fleet of 9 nodes
    When node n02 announces a draining endpoint
    Then all other nodes see the draining endpoint of node n02

  Scenario: Nodes declared dead in a partition rejoin after it heals
    Given a fleet of 6 nodes connected by links
    When nodes n01, n04 are partitioned from the others
    Then all other nodes see node n04 as dead
    And node n01 sees node n00 as dead
    When the network heals
    Then all nodes see each other as alive

  Scenario: An isolated node refutes that it is dead
    Given a fleet of 6 nodes connected by links
    When nodes n05 are partitioned from the others
    Then all other nodes see node n05 as dead
    When the network heals
    Then all nodes see each other as alive
    And node n05 has a higher incarnation than before

  Scenario: A node that one other node cannot reach stays alive
    Given a fleet of 6 nodes connected by links
    When the link between n00 and n03 is blocked
    And node n00 has sent indirect probe requests for node n03
    Then all other nodes see node n03 as alive
    And no node was ever declared dead
