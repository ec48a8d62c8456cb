Feature: Tasks of cancelled jobs end, whoever started them

  # A client had cancelled its job, and the runner had taken the stop. The run was listed
  # again by later looks and went on to its end: it counted as being stopped, so nobody
  # told the runner a second time. A stop itself takes up to 0.4 s.
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

  # The stop overtook the start, which was still on its way; the start was carried out
  # after it all the same.
  Scenario: A stop that is answered while the start is under way
    Given a cell with the runners w1
    When a job is planned and cancelled before its start is answered
    And w1 takes the stop, and then answers the start
    And a look that is sent 0.5 s later still lists the run
    Then w1 is told to stop it twice

  # An order was carried out seconds after it was sent. By then the owner had given it up,
  # and the job was cancelled.
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

  # The answer to a start was lost, its repetition was refused for want of room. The owner
  # took the task for not started, gave its room away and started it on another runner;
  # then the first order was carried out.
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

  # A job was cancelled while the store took its runner down. Its start was withdrawn, and
  # for a look, 1.5 s, the runner got nothing more: it counted as one that does not answer.
  Scenario: A start that is withdrawn says nothing of its runner
    Given an owner with a runner that answers
    When a job is cancelled before its start is sent
    Then nothing was sent, and the next job starts there at once

  # A job was over in the store while its tasks ran here. The owner forgot it; its tasks
  # were listed as before, and nobody stopped them.
  Scenario: A job that is over in the store while its task runs
    Given a cell with the runners w1
    And a running job that fills w1
    When the store says that the job is over
    Then w1 is told to stop it once

  # Of a job that is over the store keeps no demand. A successor found one of its tasks,
  # counted nothing for it, and started others in its room before it had been stopped.
  Scenario: A run of a job that nobody knows keeps its room until it is gone
    Given a cell with the runners w1
    When w1 lists a run of a job that nobody knows
    And a job is handed in
    Then nothing starts
    When w1 does not list the unknown run any more
    Then the new job starts

  # The owner was killed and its host removed. Its client cancelled the job at another
  # host; the task ran on where the former owner had started it.
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

  # A start was carried out late, right after a look had begun to wait at the runner. It
  # was found by the next one, 1.5 s later; its stop was answered and had no effect, and
  # by the time that another look proved it, the task had run for 4.5 s.
  Scenario Outline: A runner that answers a stop and does not carry it out
    Given a runner that starts a task of the cancelled job <when>, and is deaf to its first stop
    When another host takes over
    Then the task is stopped within 3 s of its start

    Examples:
      | when                          |
      | before it is looked at        |
      | while a look waits for news   |

  # A job was cancelled while the way to its runner was cut. The stop was given up with
  # the owner's record of the job, and the task ran on when the way was back.
  Scenario: The runner is out of reach at the cancellation and back later
    Given an owner with a running task on a runner
    When the runner is out of reach, the job is cancelled, and 1.5 s pass
    Then the task is stopped within 3 s of the runner being in reach
