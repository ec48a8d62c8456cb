Feature: What the owner and CI tell

  # Guards against urgent jobs that are late without a line that tells why.
  Scenario: Tasks wait beside runners that are full
    Given an owner of 2 runners, both full, and a job that waits
    When it has planned for a second
    Then one line tells that 1 task of urgent waits with 0 cores free of 64

  Scenario: A job whose runner has not been seen yet
    Given an owner of 2 runners and a job that may run on one it has not seen
    When it has planned for a second
    Then one line tells that 1 task is blocked

  Scenario: Nothing waits
    Given an owner of 2 runners without jobs
    When it has planned for a second
    Then it tells nothing of tasks that wait

  Scenario: A job makes no progress although its tasks could run
    Given an owner of 2 runners with a job that nothing is placed for
    When nothing changes for 4 seconds
    Then one line names the job, its waiting step and its tickets
    And it is not logged again within 4 seconds, and once more after 6

  Scenario: A run is held on a runner far longer than it is expected to take
    Given an owner of 2 runners with a job whose run of 0.5 s is held
    When nothing changes for 5 seconds
    Then one line names the job, its run and its runner

  Scenario Outline: Jobs whose runs are not overdue are not stalled
    Given an owner of 2 runners with a job <of>
    When nothing changes for 4 seconds
    Then no line names a stalled job

    Examples:
      | of                                    |
      | whose run of 20 s is held             |
      | whose lasting tasks are all placed    |
      | whose step depends on another that is held |

  Scenario: More known failures than may stand
    Given a list of known failures of 4 lines
    Then CI does not take the list

  Scenario: A known failure of one row of an outline
    Given a list of known failures of 1 line
    Then a row of its outline is known, and another scenario is not
