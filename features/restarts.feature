Feature: Runners that restart under the same id

  Real hosts, a store, and runners that crash and start again with the same id and address, but
  with all state reset: the numbers of ends, the clock and the fencing token.

  # Guards against acknowledging ends of one incarnation with the numbers of another.
  Scenario: Runners restart between jobs
    Given 3 entry hosts on a platform whose runners restart under their ids
    When 12 jobs are completed, all runners restart, and 12 more are submitted
    Then all of them are completed
    And no task ran twice and no runner exceeded its capacity

  # Guards against starting tasks of a former incarnation again while the next one runs them.
  Scenario: Runners restart repeatedly while jobs run
    Given 3 entry hosts on a platform whose runners restart under their ids
    When 30 jobs are submitted while runners restart every 0.7 seconds
    Then all of them are completed
    And no task ran twice and no runner exceeded its capacity

  # Guards against waiting for leases by the clock of an incarnation that has ended.
  Scenario: A runner restarts and is then lost permanently
    Given 3 entry hosts on a platform whose runners restart under their ids
    When all runners restart, and one is lost permanently while it runs tasks started since then
    Then all of them are completed
    And no task ran twice and no runner exceeded its capacity

  # Guards against a new owner that counts runs of a former incarnation as still running.
  Scenario: Runners restart while the owner is killed
    Given 3 entry hosts on a platform whose runners restart under their ids
    When long jobs run, the owner is killed, and all runners restart before another owns the cell
    Then all of them are completed
    And no task ran twice and no runner exceeded its capacity

  # Guards against starting a completed gang repeatedly, without progress.
  Scenario: A gang completes on runners that have restarted
    Given 3 entry hosts on a platform whose runners restart under their ids
    When each runner has listed 30 ends, all restart, and a gang of 9 tasks is submitted
    Then all of them are completed
    And the gang has run once

  # Guards against blaming a task for a process that had ended before its start was sent.
  Scenario: Runners go dark and are back under their ids before anyone notices
    Given 3 entry hosts on a platform whose runners restart under their ids
    When 8 times all runners go dark, are back, and 6 jobs are submitted at once
    Then none of them is shown as failed
    And all of them are completed
    And no task ran twice and no runner exceeded its capacity
