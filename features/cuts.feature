Feature: Network partitions between daemons, zones and the platform

  # Guards against an owner that stops serving although its peers confirm that it is alive.
  Scenario: An owner loses the log but not its peers
    Given a cell with relayed links and 1 zones with 3 daemons, 2 workers and 3 endpoints
    And version 1 of the contract is in force
    When the link from ub-east-d0 to log is cut both ways
    And 3 seconds pass
    Then requests to ub-east-d0 are answered within 2 seconds
    And ub-east-d0 keeps its shards
    When all cut links are restored
    And 20 jobs of 4 processors are submitted to ub-east-d0
    Then all submitted jobs end as succeeded
    And all guarantees hold

  # Guards against shards that move back and forth between daemons that cannot reach each other.
  Scenario: Two daemons lose their link to each other but not to the log
    Given a cell with relayed links and 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When the link from ub-east-d0 to ub-east-d1 is cut both ways
    And 20 jobs of 4 processors are submitted to ub-east-d0
    And 8 seconds pass
    Then ub-east-d0 keeps its shards
    When all cut links are restored
    Then all submitted jobs end as succeeded
    And all guarantees hold

  # Guards against overallocating a worker: the isolated owner and its successors could both
  # start tasks there.
  Scenario: An owner loses the log and its peers with starts queued
    Given a cell with relayed links and 1 zones with 3 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 60 jobs of 8 processors running 1 seconds are submitted to ub-east-d1
    And ub-east-d0 is cut off from everything
    And 10 seconds pass
    And all cut links are restored
    Then all submitted jobs end as succeeded
    And every shard has a live owner within 15 seconds
    And all guarantees hold

  # Bytes pass in one direction only.
  Scenario Outline: A one-way cut from <source> to <target>
    Given a cell with relayed links and 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 30 jobs of 8 processors running 0.5 seconds are submitted to ub-east-d1
    And the link from <source> to <target> is cut one way
    And 6 seconds pass
    And all cut links are restored
    Then all submitted jobs end as succeeded
    And all guarantees hold

    Examples:
      | source     | target     |
      | ub-east-d0 | log        |
      | log        | ub-east-d0 |
      | ub-east-d0 | ub-east-d1 |

  # Guards against a zone that stops serving when it is cut off.
  Scenario: A zone is cut off from the rest and from the log
    Given a cell with relayed links and 2 zones with 2 daemons, 1 workers and 2 endpoints
    And version 1 of the contract is in force
    When the zone ub-west is cut off from the rest and from the log
    And 4 seconds pass
    Then requests to ub-west-d0 are answered within 3 seconds
    And requests to ub-east-d0 are answered within 3 seconds
    When version 2 is published
    Then the operator is told that it was aborted because ub-west-d0 had not staged it
    When all cut links are restored
    And 3 seconds pass
    And version 2 is published
    Then the operator is told that it is in force
    And version 2 is in force on every daemon
    And all guarantees hold
