Feature: Learned speeds of runners and durations of runs

  # Guards against taking an estimate that is wrong for a whole step for slowness of its runners.
  Scenario: Runners of two speeds whose steps have estimates wrong by a factor of two
    Given 40 runners of which 10 run at 0.55 and the others at 1.2 of the usual speed
    When each has ended 12 runs on average
    Then speeds are uneven, and 38 runners or more have a speed within 25% of their own

  # Guards against placement by noise in a cell of equal runners.
  Scenario: Equal runners whose runs differ only by chance
    Given 40 runners of which 0 run at 0.55 and the others at 1.0 of the usual speed
    When each has ended 30 runs on average
    Then speeds were even all the time, and every duration is the declared one

  # Guards against a runner that keeps an outdated speed, and against one outlier that counts.
  Scenario Outline: A fast runner has runs that take longer
    Given 40 runners of which 10 run at 0.55 and the others at 1.2 of the usual speed
    When each has ended 30 runs on average
    And <runs> runs of a fast runner take <factor> times as long
    Then it counts as a <class> runner

    Examples:
      | runs | factor | class |
      | 10   | 2.2    | slow  |
      | 1    | 6.0    | fast  |

  # Guards against unknown runners that are taken for runners of the usual speed.
  Scenario: An unknown runner among slow ones of its zone and kind
    Given 40 runners of which 10 run at 0.55 and the others at 1.2 of the usual speed
    When each has ended 30 runs on average
    Then an unknown runner in the zone of the slow ones counts as slow

  # Guards against a processor share that learning takes from an owner with 0.1 core.
  Scenario: The cost of learning from a run
    Given 176 runners of which 44 run at 0.55 and the others at 1.2 of the usual speed
    When each has ended 12 runs on average
    Then a run has cost less than 20 microseconds of processor time
