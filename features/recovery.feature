Feature: Recovery from the log, the peers and the workers alone
  Hosts store nothing: a daemon gets its state from the log, the peers and the workers.
  A settlement is a payment: it must not run twice.

  # Guards against running a job twice because the answer to its write was lost.
  Scenario: Answers of the log are lost after the write took effect
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When the log loses the next 6 answers
    And 10 jobs of 1 processors are submitted to ub-east-d0
    Then all submitted jobs end as succeeded
    And all guarantees hold

  # Guards against losing jobs when all daemons are replaced at once.
  Scenario: All daemons are replaced at once
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 30 jobs of 4 processors running 2 seconds are submitted to ub-east-d0
    And 1 seconds pass
    And all daemons are killed and started again
    Then all submitted jobs end as succeeded
    And version 1 is in force on every daemon
    And all guarantees hold

  # Guards against starting a settlement again when it is unknown whether it was paid.
  Scenario: A worker is lost with a non-idempotent job on it
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When a non-idempotent job running 60 seconds is started
    And its worker is cut off
    Then the job becomes uncertain within 25 seconds
    When an operator resolves it as ran
    Then the job ends as succeeded
    And all guarantees hold

  # Guards against claiming shards by the incomplete state of a truncated log.
  Scenario: The log is truncated past a daemon's offset
    Given a cell whose log keeps records for 6 seconds
    And version 1 of the contract is in force
    When ub-east-d0 is paused
    And 10 jobs of 1 processors are submitted to ub-east-d1
    And all submitted jobs have ended
    And all records of the zone ub-east expire
    And ub-east-d0 is resumed
    Then 10 jobs submitted to ub-east-d0 all end as succeeded
    And all guarantees hold

  # Guards against losing or repeating settlements when a dispatcher dies at any moment.
  Scenario: Dispatchers are killed at many moments
    Given a cell of 1 zones with 3 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 45 jobs of 4 processors are submitted while the dispatcher is killed 4 times
    Then all submitted jobs end as succeeded
    And all guarantees hold

  # Guards against tasks whose leases expire because their owner dies while the log is unavailable.
  Scenario: An owner dies while the log is unavailable
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 4 jobs of 4 processors running 14 seconds are submitted to ub-east-d1
    And 2 seconds pass
    And the log is unavailable
    And ub-east-d0 is killed
    And 10 seconds pass
    And the log is available again
    Then all submitted jobs end as succeeded
    And none of their leases lapsed
    And all guarantees hold
