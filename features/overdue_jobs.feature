Feature: Jobs with far more tasks than the cell can run

  # Guards against an owner that exceeds its memory, or stops answering, for one accepted job.
  Scenario Outline: A job that no runner can take
    Given a cell in which no runner has the label of <job>
    When it is planned ten times
    Then that takes less than 3 MB of memory, and no plan takes longer than a heartbeat

    Examples:
      | job                                             |
      | 1000 overdue times of 2 steps of 60 tasks       |
      | 10000 overdue times of 2 steps of 60 tasks      |
      | 1 overdue times of 100 steps of 1000 tasks      |
      | 1000 overdue times of 100 steps of 1000 tasks   |

  # Guards against many such jobs, each within the limits of one.
  Scenario: Many jobs that no runner can take
    Given a cell in which no runner has the label of 2000 jobs of 1000 overdue times
    When it is planned ten times
    Then that takes less than 30 MB of memory, and no plan takes longer than a heartbeat

  # Guards against a job whose later times are forgotten, run twice, or outgrow a record of the store.
  Scenario Outline: All times of a job that can be done
    Given a cell with 20 runners and a job of <count> overdue times of 2 steps, the second after the first
    When it is played to its end, and its owner is replaced <owners> times
    Then it is completed, and each task was started once
    And its stored progress never exceeded 200000 bytes

    Examples:
      | count | owners |
      | 3000  | 0      |
      | 3000  | 5      |

  # Guards against stored progress that grows with the times behind one that cannot end.
  Scenario: The first time of a job cannot end
    Given a cell with 20 runners and a job of 10000 overdue times of 2 steps, the second after the first
    When it is played for 300 plans, and the first task never ends
    Then its stored progress never exceeded 200000 bytes

  # Guards against a job that is accepted and cannot be kept by the hosts.
  Scenario: Jobs beyond the limits are refused as not run
    Given a job of 100 steps of 1001 tasks
    When a client submits it
    Then it is told that this is not a job, and which limit it exceeds
    Given unfinished jobs with 30000 steps
    When a client submits a job of one step
    Then it is told to retry later, as the jobs have too many steps
