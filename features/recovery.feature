Feature: Recovery from the log, the peers and the workers alone
  Hosts keep nothing: what a daemon knows it has read or been told.

  # Guards against doing something twice because its answer was lost.
  Scenario: Answers of the log are lost after the write took effect
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When the log loses the next 6 answers
    And 10 jobs of 1 processors are submitted to ub-east-d0
    Then all submitted jobs end as succeeded
    And no promise is broken

  # Guards against losing work when all daemons are replaced at once.
  Scenario: All daemons are replaced at once
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 30 jobs of 4 processors running 2 seconds are submitted to ub-east-d0
    And 1 seconds pass
    And all daemons are killed and started again
    Then all submitted jobs end as succeeded
    And version 1 is in force on every daemon
    And no promise is broken

  # Guards against starting a settlement again of which nobody knows whether it was paid.
  Scenario: A worker is lost with a settlement and a rebuild on it
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When a non-idempotent job running 60 seconds is started
    And its worker is cut off
    Then the job becomes uncertain within 25 seconds
    When an operator resolves it as ran
    Then the job ends as succeeded
    And no promise is broken

  # Guards against claiming shards by a log that was truncated.
  Scenario: The log is truncated past a daemon's offset
    Given a cell whose log keeps records for 6 seconds
    And version 1 of the contract is in force
    When ub-east-d0 is paused
    And 10 jobs of 1 processors are submitted to ub-east-d1
    And all submitted jobs have ended
    And all records of the zone ub-east expire
    And ub-east-d0 goes on
    Then 10 jobs submitted to ub-east-d0 all end as succeeded
    And no promise is broken

  # Guards against losing or doubling settlements when dispatchers die at any moment.
  Scenario: Dispatchers are killed at many moments
    Given a cell of 1 zones with 3 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 45 jobs of 4 processors are submitted while the dispatcher is killed 4 times
    Then all submitted jobs end as succeeded
    And no promise is broken

  # Guards against tasks that lapse when their owner dies while the log is out.
  Scenario: An owner dies while the log is out
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When 4 jobs of 4 processors running 14 seconds are submitted to ub-east-d1
    And 2 seconds pass
    And the log is out
    And ub-east-d0 is killed
    And 10 seconds pass
    And the log is back
    Then all submitted jobs end as succeeded
    And none of their leases lapsed
    And no promise is broken
