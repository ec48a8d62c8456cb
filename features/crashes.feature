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
