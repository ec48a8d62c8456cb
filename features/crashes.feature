Feature: Tasks that crash the runners they are started on

  Real hosts, a store, and runners that a task may crash: all that runs on one is gone,
  its connections break, and another life answers at its address a second later.

  # A desk's pass was never read, and one job in nine beside it failed as well. Its task
  # crashed each runner that started it, 15 ms after the start; a crashed runner lists no
  # end, and only listed ends were counted, so the task was started on the next runner as
  # soon as the crashed one was back: 130 runners in 90 s. The start of its seventh run
  # still said "failures": 0.
  Scenario: A task crashes each runner that starts it
    Given 3 entry hosts on a platform whose runners may crash
    When a job whose task crashes its runner is handed in, and 6 others
    Then every host tells that it is failed
    And 2 or 3 runners have crashed under its task
    And the 6 other jobs are completed
    And no task ran twice and no runner was overfull

  # The same task, and the owner dies as soon as a runner has crashed. What it had not yet
  # stored is lost with it, and a successor that counts from nothing starts the task on one
  # runner after the other, as long as owners die.
  Scenario: Owners die one after the other as runners crash under a task
    Given 3 entry hosts on a platform whose runners may crash
    When a job whose task crashes its runner is handed in, and 0 others
    And the owner is killed 3 times, each time once another runner has crashed
    Then every host tells that it is failed
    And no more than 5 runners have crashed under its task
