Feature: Tasks of cancelled jobs end, whoever started them

  # Guards against a run that goes on after its stop was taken.
  Scenario Outline: A run that is listed after its stop was taken
    Given a cell with the runners w1
    And a running job that fills w1
    When the job is cancelled and w1 takes the stop
    And a look that is sent <seconds> s later still lists the run
    Then w1 is told to stop it <times>

    Examples:
      | seconds | times |
      | 0.1     | once  |
      | 0.5     | twice |

  # Guards against a start that is carried out after the stop that overtook it.
  Scenario: A stop that is answered while the start is under way
    Given a cell with the runners w1
    When a job is planned and cancelled before its start is answered
    And w1 takes the stop, and then answers the start
    And a look that is sent 0.5 s later still lists the run
    Then w1 is told to stop it twice

  # Guards against a late start that runs on for a cancelled job.
  Scenario Outline: A start that is carried out late
    Given a cell with the runners w1
    And an order to start a job, which was <fate>
    When the job is cancelled, <forgotten>, and w1 lists the run
    Then w1 is told to stop it once

    Examples:
      | fate              | forgotten                       |
      | refused           | is still known                  |
      | refused           | is dropped by the store         |
      | stopped and gone  | is still known                  |
      | stopped and gone  | is dropped by the store         |

  # Guards against giving the room of a start away whose repetition was refused.
  Scenario Outline: A start that may arrive though its repetition was refused
    Given an owner whose start loses its answer and is then refused: <reply>
    When it has sent the start
    Then the run counts until the runner has taken a stop

    Examples:
      | reply     |
      | no-room   |
      | unhealthy |
      | no-ticket |
      | too-late  |
      | invalid   |

  # Guards against taking a runner for silent because a start was withdrawn.
  Scenario: A start that is withdrawn says nothing of its runner
    Given an owner with a runner that answers
    When a job is cancelled before its start is sent
    Then nothing was sent, and the next job starts there at once

  # Guards against tasks that nobody stops, of a job that is over in the store.
  Scenario: A job that is over in the store while its task runs
    Given a cell with the runners w1
    And a running job that fills w1
    When the store says that the job is over
    Then w1 is told to stop it once

  # Guards against giving away the room of a run whose demand nobody knows.
  Scenario: A run of a job that nobody knows keeps its room until it is gone
    Given a cell with the runners w1
    When w1 lists a run of a job that nobody knows
    And a job is handed in
    Then nothing starts
    When w1 does not list the unknown run any more
    Then the new job starts

  # Guards against a task that runs on after its owner was killed and its job cancelled.
  Scenario Outline: The owner is killed between start and cancellation
    Given a runner that runs a task of a cancelled job, <reached>
    And a store that has <record>
    When another host takes over
    Then the task is stopped within 3 s of the runner being in reach

    Examples:
      | reached                | record                              |
      | listed                 | its submission and its cancellation |
      | listed                 | its final state                     |
      | listed                 | nothing of it                       |
      | whose entry has gone   | its submission and its cancellation |
      | whose entry has gone   | its final state                     |
      | whose entry has gone   | nothing of it                       |
      | out of reach for 1.5 s | its submission and its cancellation |
      | out of reach for 1.5 s | its final state                     |
      | out of reach for 1.5 s | nothing of it                       |

  # Guards against a run that goes on for seconds because its stop had no effect.
  Scenario Outline: A runner that answers a stop and does not carry it out
    Given a runner that starts a task of the cancelled job <when>, and is deaf to its first stop
    When another host takes over
    Then the task is stopped within 3 s of its start

    Examples:
      | when                          |
      | before it is looked at        |
      | while a look waits for news   |

  # Guards against a stop that is forgotten while its runner is out of reach.
  Scenario: The runner is out of reach at the cancellation and back later
    Given an owner with a running task on a runner
    When the runner is out of reach, the job is cancelled, and 1.5 s pass
    Then the task is stopped within 3 s of the runner being in reach
