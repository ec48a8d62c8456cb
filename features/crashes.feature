Feature: Tasks that crash the runners they are started on

  Real hosts, a store, and runners that a task may crash: all that runs on one is gone,
  its connections break, and another life answers at its address a second later.

  # Guards against starting a task for ever that crashes its runners.
  Scenario: A task crashes each runner that starts it
    Given 3 entry hosts on a platform whose runners may crash
    When a job whose task crashes its runner is handed in, and 6 others
    Then every host tells that it is failed
    And 2 or 3 runners have crashed under its task
    And the 6 other jobs are completed
    And no task ran twice and no runner was overfull

  # Guards against forgetting crashes with each owner that dies.
  Scenario: Owners die one after the other as runners crash under a task
    Given 3 entry hosts on a platform whose runners may crash
    When a job whose task crashes its runner is handed in, and 0 others
    And the owner is killed 3 times, each time once another runner has crashed
    Then every host tells that it is failed
    And no more than 5 runners have crashed under its task
