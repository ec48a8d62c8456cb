Feature: Tasks that crash their runners

  Real hosts, a store, and runners that a task may crash: all runs on the runner are lost, its
  connections break, and a new runner process answers at its address a second later.

  # Guards against retrying forever a task that crashes its runners.
  Scenario: A task crashes each runner that starts it
    Given 3 entry hosts on a platform whose runners may crash
    When a job whose task crashes its runner is submitted, and 6 others
    Then every host reports that it is failed
    And its task has crashed 2 or 3 runners
    And the 6 other jobs are completed
    And no task ran twice and no runner exceeded its capacity

  # Guards against losing the count of crashes when the owner is replaced.
  Scenario: Owners are killed one after the other while a task crashes runners
    Given 3 entry hosts on a platform whose runners may crash
    When a job whose task crashes its runner is submitted, and 0 others
    And the owner is killed 3 times, each time after another runner has crashed
    Then every host reports that it is failed
    And its task has crashed at most 5 runners

  # Guards against retrying forever a task that crashes its runners after its start was answered.
  Scenario Outline: Tasks crash their runners after the answer to their start
    Given 3 entry hosts and 12 runners that may crash
    When <jobs> jobs whose tasks crash their runners <seconds> s after the answer are submitted, <beside>
    Then every host reports that they are failed
    And each of their tasks has crashed 3 to 5 runners
    And no other job is reported as failed

    Examples:
      | jobs | seconds | beside                               |
      | 1    | 0.05    | and 6 others                         |
      | 1    | 2       | and 6 others                         |
      | 4    | 0.3     | and 6 others                         |
      | 2    | 0.3     | while a runner crashes each 2 s      |

  # Guards against a job that is shown as failed although its tasks crash no runner.
  Scenario Outline: Runners are lost by chance only
    Given a simulated cell of 24 runners that loses <lost>
    When it is played for 40 s with 6 seeds
    Then no job is shown as failed

    Examples:
      | lost                                        |
      | all of them in three series of three waves  |
      | half of them in three series of three waves |
      | a quarter of them in 20 waves               |
      | one each 2 s                                |

  # Guards against tasks that excuse each other by crashing their runners at the same time.
  Scenario Outline: Several tasks crash runners
    Given a simulated cell of 24 runners, and <count> tasks that crash theirs after <seconds> s
    When it is played for 40 s with 6 seeds
    Then each of these tasks has crashed 3 to 5 runners, and no other job is shown as failed

    Examples:
      | count | seconds |
      | 1     | 0.3     |
      | 6     | 0.05    |
      | 6     | 0.3     |

  # Guards against tasks that are started more than twice after three crashes in a cell that also
  # loses many runners by chance, or where half of the runners run such a task.
  Scenario Outline: Several tasks crash runners beside many other losses
    Given a simulated cell of 24 runners with <count> tasks that crash theirs after 0.3 s, which loses <lost>
    When it is played for 40 s with 6 seeds
    Then each of these tasks has crashed 3 to 5 runners, and no other job is shown as failed

    Examples:
      | count | lost                                        |
      | 12    | no others                                   |
      | 4     | one each 2 s                                |
      | 4     | half of them in three series of three waves |

  # Guards against a job that is shown as failed although its tasks crash no runner, in a small cell
  # whose runners last for 16 s each.
  Scenario: Runners of a small cell are lost by chance only
    Given a simulated cell of 8 runners that loses one each 2 s
    When it is played for 40 s with seed 27
    Then no job is shown as failed
