Feature: Different workloads on one cell

  # Guards against running a job in two zones, when it is moved from a zone that restarts later.
  Scenario: Jobs of a lost zone are moved, and the zone restarts
    Given a cell of 2 zones with 1 daemons, 1 workers and 1 endpoints
    And version 1 of the contract is in force
    When 30 jobs of 16 processors running 2 seconds are submitted to ub-west-d0
    And ub-west-d0 is killed
    And the jobs of ub-west are moved to ub-east
    And ub-west-d0 is killed and started again
    Then every job ends as succeeded in one zone or the other
    And all guarantees hold

  # Guards against starting a part of a gang, whose tasks would occupy workers without progress.
  Scenario: A gang starts all its tasks together
    Given a cell of 1 zones with 2 daemons, 3 workers and 1 endpoints
    And version 1 of the contract is in force
    When 20 jobs of 8 processors running 1 seconds are submitted to ub-east-d0
    And a gang of 6 tasks of 16 processors is submitted
    Then all submitted jobs end as succeeded
    And the tasks of the gang started within 1 second of each other
    And all guarantees hold

  # Guards against an urgent job that waits while batch jobs occupy every worker.
  Scenario: Urgent work stops batch work that its contract lets be preempted
    Given a cell of 1 zones with 2 daemons, 2 workers and 1 endpoints
    And version 1 of the contract is in force
    When 8 idempotent jobs of 8 processors running 20 seconds fill the cell
    And an urgent job of 8 processors is submitted
    Then the urgent job started within 2.5 seconds
    And the stopped jobs are waiting or running again
    And all guarantees hold

  # Guards against a task that uses twice the memory that it declared.
  Scenario: A task that exceeds its declared memory is throttled, then stopped
    Given a cell of 1 zones with 1 daemons, 1 workers and 1 endpoints
    And version 1 of the contract is in force
    When a job with command swell 30 is submitted
    Then the log shows its throttle, checkpoint and stop

  # Guards against sending more jobs to a worker where every task fails, whatever its job.
  Scenario: A worker where every task fails gets no more work
    Given a cell of 1 zones with 2 daemons, 3 workers and 1 endpoints
    And version 1 of the contract is in force
    When every task that ub-east-w0 starts fails
    And 60 idempotent jobs of 4 processors running 0.2 seconds are submitted
    Then all submitted jobs end as succeeded
    And ub-east-w0 started at most 20 of them

  # Guards against retrying forever a job that fails on every worker.
  Scenario: A job that fails everywhere is parked
    Given a cell of 1 zones with 2 daemons, 2 workers and 1 endpoints
    And version 1 of the contract is in force
    When a job with command fail 0.1 is submitted
    Then the job ends as parked
    And it was started exactly 3 times
    When an operator resolves it as ran
    Then the job ends as succeeded

  # Guards against one customer that delays another by filling the queue.
  Scenario: A customer floods the queue
    Given a cell of 1 zones with 2 daemons, 2 workers and 1 endpoints
    And version 1 of the contract is in force
    And a second customer has a contract too
    When 150 jobs of 8 processors running 0.3 seconds are submitted to ub-east-d0
    And 5 jobs of the second customer are submitted behind them
    Then the second customer's jobs are done before 100 jobs of the flood have ended

  # Guards against exceeding a quota that is shared between zones.
  Scenario: A zone that runs out of its share of a quota gets more
    Given a cell of 2 zones with 1 daemons, 2 workers and 1 endpoints
    And a contract with a quota of 32 processors is in force
    When a job of 24 processors is submitted to each zone
    And 40 small jobs of 4 processors follow
    Then all submitted jobs end as succeeded
    And at most 32 processors were in use at any time
