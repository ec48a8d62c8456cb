Feature: Guarantees during failures
  Each scenario runs real daemons; the records of workers and runners are checked.
  A settlement is a payment: it must not run twice.

  # Guards against using the slots of a dead owner while its last requests may still run.
  Scenario: An owner is killed; its workers and runners get a new owner
    Given a cell of 1 zones with 3 daemons, 4 workers and 4 endpoints
    And version 1 of the contract is in force
    When ub-east-d0 is killed
    Then requests to ub-east-d1 are answered within 10 seconds
    And every shard has a live owner within 15 seconds
    And 20 jobs submitted to ub-east-d1 all end as succeeded
    And all guarantees hold

  # Guards against an owner that resumes after a pause and sends queued starts that its
  # successor does not count.
  Scenario Outline: An owner is paused for <seconds> seconds with starts queued
    Given a cell of 1 zones with 3 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 120 jobs of 4 processors are submitted to ub-east-d1
    And ub-east-d0 is paused for <seconds> seconds
    Then all submitted jobs end as succeeded
    And all guarantees hold

    Examples:
      | seconds |
      | 0.8     |
      | 8       |

  # Guards against losing accepted jobs, or rejecting requests, while the log is unavailable.
  Scenario: The log is unavailable
    Given a cell of 1 zones with 3 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 60 jobs of 4 processors are submitted to ub-east-d1
    And the log is unavailable
    Then requests to ub-east-d0 are answered within 5 seconds
    And a settlement submitted to ub-east-d2 is refused as not_run with a retry-after header
    When 5 seconds pass
    Then requests to ub-east-d2 are answered within 5 seconds
    When the log is available again
    Then all submitted jobs end as succeeded
    And all guarantees hold
