Feature: Runners that restart under the id that they had

  Real hosts, a store, and runners that crash and start again under the same id, at the same
  address, with all counts anew: numbers of ends, clock, fence.

  # Guards against acknowledging the ends of one incarnation by the numbers of another.
  Scenario: Runners restart between jobs
    Given 3 entry hosts on a platform whose runners restart under their ids
    When 12 jobs are completed, all runners restart, and 12 more are handed in
    Then all of them are completed
    And no task ran twice and no runner was overfull

  # Guards against starting the tasks of a former incarnation while the next one runs them.
  Scenario: Runners restart again and again while jobs run
    Given 3 entry hosts on a platform whose runners restart under their ids
    When 30 jobs are handed in while runners restart every 0.7 seconds
    Then all of them are completed
    And no task ran twice and no runner was overfull

  # Guards against waiting for leases by the clock of an incarnation that is over.
  Scenario: A runner restarts and is lost for good
    Given 3 entry hosts on a platform whose runners restart under their ids
    When all runners restart, and one is lost for good under tasks that were started there since
    Then all of them are completed
    And no task ran twice and no runner was overfull

  # Guards against a successor that takes the runs of a former incarnation for its own.
  Scenario: Runners restart while the owner is killed
    Given 3 entry hosts on a platform whose runners restart under their ids
    When long jobs run, the owner is killed, and all runners restart before another owns the cell
    Then all of them are completed
    And no task ran twice and no runner was overfull

  # Guards against a gang that is done and starts again and again, standing still in between.
  Scenario: A gang is done on runners that have restarted
    Given 3 entry hosts on a platform whose runners restart under their ids
    When each runner has listed 30 ends, all restart, and a gang of 9 tasks is handed in
    Then all of them are completed
    And the gang has run once
