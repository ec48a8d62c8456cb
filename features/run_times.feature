Feature: Learned speeds of runners and durations of runs

  # Guards against taking an estimate that is wrong for a whole step for slowness of its runners.
  Scenario: Runners of two speeds whose steps have estimates wrong by a factor of two
    Given 40 runners of which 10 run at 0.55 and the others at 1.2 of the usual speed
    When each has ended 12 runs on average
    Then speeds are uneven, and 38 runners or more have a speed within 25% of their own

  # Guards against placement by noise in a cell of equal runners.
  Scenario Outline: Equal runners whose runs differ only by chance
    Given <count> runners of which 0 run at 0.55 and the others at 1.0 of the usual speed
    When each has ended 30 runs on average
    Then speeds were even all the time, and every duration is the declared one

    Examples:
      | count |
      | 9     |
      | 40    |

  # Guards against a runner that keeps an outdated speed, and against one outlier that counts.
  Scenario Outline: A fast runner has runs that take longer
    Given 40 runners of which 10 run at 0.55 and the others at 1.2 of the usual speed
    When each has ended 30 runs on average
    And <runs> runs of a fast runner take <factor> times as long
    Then its speed counts as <class>

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
    Then a run has cost fewer operations on average than the sum of 200 squares

  # Guards against a variance below 0 where a runner is compared with its own earlier runs.
  Scenario: A runner that seems to change its speed while it runs all tasks of a step
    Given a runner whose runs have lately taken longer, and a queue of equal tasks
    When it ends two tasks of one step, the second far later
    Then its speed is learned again, with a positive variance

  # Guards against urgent jobs on slow runners, and against fast ones that tolerant work takes.
  Scenario Outline: Free runners of two speeds
    Given a cell with the slow runners w1 to w4 and the fast runners w5 to w8
    When a task of <seconds> s of the queue <queue> is submitted in the zone of <zone>
    Then it is placed on a <class> runner, with its duration there

    Examples:
      | queue  | seconds | zone | class |
      | urgent | 1       | w1   | fast  |
      | batch  | 1       | w5   | slow  |
      | tight  | 10      | w1   | fast  |

  # Guards against permits for runners on which an urgent job would end late.
  Scenario Outline: Permits for an urgent job in the zone of the slow runners
    Given a cell with 40 runners, of which the first 10 are slow, and an advised queue
    When an urgent <kind> needs permits
    Then its request names only fast runners

    Examples:
      | kind |
      | task |
      | gang |

  # Guards against reservations by an estimate that the progress has shown to be wrong.
  Scenario: A task whose progress shows when it ends
    Given a cell with the slow runners w1 to w4 and the fast runners w5 to w8
    When a task of 1 s of the queue batch is submitted in the zone of w1
    And its runner reports 40 percent after 4 s
    Then its end is expected 6 s later, and not by its progress once speeds are even

  # Guards against learning from runs whose duration does not show the speed of their runner.
  Scenario Outline: Runs from which the owner learns
    Given a cell that records what it learns
    When <a run> ends as <outcome> after 2 s
    Then it has learned from <count> runs

    Examples:
      | a run                        | outcome | count |
      | a task                       | done    | 1     |
      | a task                       | failed  | 0     |
      | a gang                       | done    | 0     |
      | a task from a checkpoint     | done    | 0     |
      | a task of an earlier owner   | done    | 0     |
      | a task on a silent runner    | done    | 0     |

  # Guards against a successor that has to learn all speeds again.
  Scenario: A successor starts from the stored speeds
    Given an owner that has found out which 10 of its 40 runners are slow
    When it is killed and another host owns the cell
    Then that host has the same speeds, and stores them at most every 2 s

  # Guards against a record of another writer that distorts placement or stops a host.
  Scenario Outline: A record of speeds that cannot be used as it is
    Given a store with the runner speeds <record>, and 120 for the other runners of 12
    When a host owns the cell and reads them
    Then every speed is within its bounds, and one line reports <reported>

    Examples:
      | record                                                                  | reported                        |
      | {"epoch":0,"rows":[["w1",0],["w2",-5]]}                                 | ignored=0 bounded=2             |
      | {"epoch":0,"rows":[["w1",1],["w2",1],["w3",9999],["w4",9999]]}          | ignored=0 bounded=4 uneven=True |
      | {"epoch":0,"rows":[["w99",55],["w1",55],["w2",55]]}                     | ignored=1 bounded=0 uneven=True |
      | {"epoch":0,"rows":[["w1",1e300]]}                                       | cannot be read                  |
      | {"rows":7                                                               | cannot be read                  |
