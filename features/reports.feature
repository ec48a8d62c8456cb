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

  # Guards against a stalled job whose log line leaves open which wait it is in.
  Scenario Outline: A stalled job is logged with the wait that it is in
    Given an owner of 2 runners with a stalled <job>
    When nothing changes for 4 seconds
    Then the line of the stalled job says that its step waits for <wait>

    Examples:
      | job                                   | wait                                      |
      | job that may run on an unseen runner  | w9 not seen                               |
      | job that may run on any runner        | w9 not seen, and it may have runs on any  |
      | job that is not stored                | the submission to be stored               |
      | job whose start was invalid           | 6.0 s after an invalid start              |
      | gang with one run being stopped       | 1 runs to end, 0 of them starting, 1 stop |
      | job without a usable runner           | usable runners (2 suspect)                |
      | job that fits nowhere                 | capacity, 0 slots are free (2 usable)     |
      | job whose advice is requested         | advice requested (32 slots, 2 usable)     |
      | job without valid tickets             | advice or reserved runners, 0 slots have  |

  # Guards against a newly stalled job that older ones keep out of the log of an idle cell.
  Scenario: More stalled jobs than a report of a busy cell has
    Given an owner of 2 runners with 7 jobs of which no task is placed
    When nothing changes for 4 seconds
    Then the log names 7 stalled jobs

  Scenario: More known failures than are allowed
    Given a list of known failures of 4 lines
    Then CI rejects the list

  Scenario: A known failure of one row of an outline
    Given a list of known failures of 1 line
    Then a row of its outline counts as known, and another scenario does not

  # Guards against a list that hides failures: only lines of one feature are not counted.
  Scenario Outline: Known failures beside those of the limits for clients
    Given a list of 3 known failures and <line>
    Then CI <outcome> the list

    Examples:
      | line                                                                   | outcome |
      | features/client_limits.feature: A \| command \| seen                   | accepts |
      | features/client_limits.feature: A; features/a.feature: B \| command     | rejects |
      | features/client_limits.feature: A; features/client_limits.feature: B \| | rejects |
      | features/client_limits.feature                                         | rejects |
      | features/other.feature: A, as features/client_limits.feature: B \|      | rejects |

  Scenario: Two scenarios share one line
    Given a list of known failures whose line names two scenarios
    Then both count as known
