Feature: Load reports of the owner, and known failures in CI

  # Guards against urgent jobs that are late without a log line that gives the reason.
  Scenario: Tasks wait while all runners are full
    Given an owner of 2 runners, both full, and a job that waits
    When it has planned for a second
    Then one log line reports 1 waiting task of urgent, and 0 cores free of 64

  Scenario: A job whose runner has not been polled yet
    Given an owner of 2 runners and a job that may be running on one it has not polled
    When it has planned for a second
    Then one log line reports that 1 task is blocked

  Scenario: Nothing waits
    Given an owner of 2 runners without jobs
    When it has planned for a second
    Then it logs nothing about waiting tasks

  Scenario: A job makes no progress although its tasks could run
    Given an owner of 2 runners with a job of which no task is placed
    When nothing changes for 4 seconds
    Then one log line names the job, its waiting step and its tickets
    And it is not logged again within 4 seconds, and once more after 6

  Scenario: A run stays on a runner far longer than it is expected to take
    Given an owner of 2 runners with a job whose run of 0.5 s does not end
    When nothing changes for 5 seconds
    Then one log line names the job, its run and its runner

  Scenario Outline: Jobs whose runs are not overdue are not stalled
    Given an owner of 2 runners with a job <of>
    When nothing changes for 4 seconds
    Then no log line names a stalled job

    Examples:
      | of                                              |
      | whose run of 20 s does not end                  |
      | whose long-running tasks are all placed         |
      | whose step depends on another that does not end |

  Scenario: More known failures than are allowed
    Given a list of known failures of 4 lines
    Then CI rejects the list

  Scenario: A known failure of one row of an outline
    Given a list of known failures of 1 line
    Then a row of its outline counts as known, and another scenario does not
