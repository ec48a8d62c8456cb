Feature: Tasks of cancelled jobs end, whoever started them

  # Guards against a run that continues after its stop was acknowledged.
  Scenario Outline: A run that is listed after its stop was acknowledged
    Given a cell with the runners w1
    And a running job that fills w1
    When the job is cancelled and w1 acknowledges the stop
    And a poll that is sent <seconds> s later still lists the run
    Then w1 is told to stop it <times>

    Examples:
      | seconds | times |
      | 0.1     | once  |
      | 0.5     | twice |

  # Guards against a start that is carried out after a stop that was sent later.
  Scenario: A stop that is acknowledged while the start is pending
    Given a cell with the runners w1
    When a job is planned and cancelled before its start is answered
    And w1 acknowledges the stop, and then the start
    And a poll that is sent 0.5 s later still lists the run
    Then w1 is told to stop it twice

  # Guards against a delayed start that keeps running for a cancelled job.
  Scenario Outline: A start that is carried out late
    Given a cell with the runners w1
    And an order to start a job, which was <fate>
    When the job is cancelled, <forgotten>, and w1 lists the run
    Then w1 is told to stop it once

    Examples:
      | fate                         | forgotten               |
      | refused                      | is still known          |
      | refused                      | is dropped by the store |
      | stopped and no longer listed | is still known          |
      | stopped and no longer listed | is dropped by the store |

  # Guards against reusing the capacity of a start that may arrive although its retry was refused.
  Scenario Outline: A start that may arrive although its retry was refused
    Given an owner whose start gets no answer and whose retry is refused: <reply>
    When it has sent the start
    Then the run counts as running until the runner has acknowledged a stop

    Examples:
      | reply     |
      | no-room   |
      | unhealthy |
      | no-ticket |
      | too-late  |
      | invalid   |

  # Guards against treating a runner as unreachable because a start was withdrawn.
  Scenario: A withdrawn start does not make its runner suspect
    Given an owner with a runner that answers
    When a job is cancelled before its start is sent
    Then nothing was sent, and the next job starts there at once

  # Guards against tasks that are never stopped although their job has ended in the store.
  Scenario: A job that has ended in the store while its task runs
    Given a cell with the runners w1
    And a running job that fills w1
    When the store says that the job has ended
    Then w1 is told to stop it once

  # Guards against reusing the capacity of a run whose demand is unknown.
  Scenario: A run of an unknown job keeps its capacity until it has ended
    Given a cell with the runners w1
    When w1 lists a run of an unknown job
    And a job is submitted
    Then nothing starts
    When w1 no longer lists the unknown run
    Then the new job starts

  # Guards against a task that keeps running after its owner was killed and its job cancelled.
  Scenario Outline: The owner is killed between start and cancellation
    Given a runner that runs a task of a cancelled job, <reached>
    And a store that has <record>
    When another host takes over
    Then the task is stopped within 3 s of the runner becoming reachable

    Examples:
      | reached                | record                              |
      | listed                 | its submission and its cancellation |
      | listed                 | its final state                     |
      | listed                 | nothing of it                       |
      | no longer listed       | its submission and its cancellation |
      | no longer listed       | its final state                     |
      | no longer listed       | nothing of it                       |
      | unreachable for 1.5 s  | its submission and its cancellation |
      | unreachable for 1.5 s  | its final state                     |
      | unreachable for 1.5 s  | nothing of it                       |

  # Guards against a run that continues for seconds because its stop had no effect.
  Scenario Outline: A runner that acknowledges a stop but does not carry it out
    Given a runner that starts a task of the cancelled job <when>, and ignores its first stop
    When another host takes over
    Then the task is stopped within 3 s of its start

    Examples:
      | when                |
      | before it is polled |
      | during a long poll  |

  # Guards against a stop that is dropped while its runner is unreachable.
  Scenario: The runner is unreachable during the cancellation and returns later
    Given an owner with a running task on a runner
    When the runner becomes unreachable, the job is cancelled, and 1.5 s pass
    Then the task is stopped within 3 s of the runner becoming reachable
