Feature: Explain a job from the logs of many hosts

  Scenario: A job that completes
    Given logs of hosts a and b
      | at  | host | text                         | fields                                          |
      | 0.5 | b    | placement: starts a task on r1. | {"task": "0.0.0", "run": 3001, "epoch": 3, "runner": "r1", "version": 16, "store_age": 0.02, "runner_age": 0.4, "failures": 0, "waited": 0.45} |
      | 0.1 | a    | jobs: POST ID: 200 by a peer. | {"book_age": 0.2, "owner": "b", "epoch": 3}   |
      | 1.6 | b    | workers: a run has ended done. | {"task": "0.0.0", "run": 3001, "epoch": 3, "runner": "r1", "number": 7, "seconds": 1.0} |
      | 1.7 | b    | workers: ends on r1: stored. | {"jobs": ["ID"], "runner": "r1", "number": 7, "acknowledged": 7} |
      | 1.7 | b    | jobs: job ID is completed.   | {}                                              |
      | 0.9 | a    | workers: r1 is ready.        | {"runner": "r1", "job": null}                   |
    When the job is explained
    Then the timeline has accepted, asked, ended, noted, closed in this order
    And its run 3001 was started by b on r1, ended done and its end was stored
    And the report has no repeated starts and no unknowns

  # Guards against a report without the reason why a job was accepted late.
  Scenario: A job that the owner refuses at first
    Given logs of hosts a and b
      | at  | host | text                                                                      | fields |
      | 0.1 | b    | jobs: job ID is refused for overload: it would end too late to be of use. | {"queue": "desk", "wait": 20.0, "retry_after": 3} |
      | 0.2 | a    | jobs: POST ID: 503 by a peer.                                             | {} |
      | 3.2 | a    | jobs: POST ID: 200 by a peer.                                             | {} |
    When the job is explained
    Then the timeline has refused for load, refused, accepted in this order

  # Guards against a report that does not show which of two owners started a task again, and why.
  Scenario: A task is started by two owners
    Given logs of hosts a and b
      | at  | host | text                           | fields                                        |
      | 1.0 | a    | ownership: owns the cell.      | {"job": null, "epoch": 4, "former": ""}       |
      | 2.0 | a    | placement: starts a task on r1. | {"task": "0.1.2", "run": 4001, "epoch": 4, "runner": "r1", "version": 16, "store_age": 0.01, "runner_age": 0.1, "failures": 0, "waited": 0.5} |
      | 3.0 | b    | ownership: owns the cell.      | {"job": null, "epoch": 5, "former": "a", "silent_seconds": null} |
      | 3.1 | b    | ownership: leaves the tasks of runners alone that it has not seen yet. | {"job": null, "epoch": 5, "seconds": 5.1} |
      | 8.2 | b    | ownership: takes the leases on unseen runners for run out. | {"job": null, "epoch": 5} |
      | 8.3 | b    | placement: starts a task on r2. | {"task": "0.1.2", "run": 5001, "epoch": 5, "runner": "r2", "version": 17, "store_age": 0.03, "runner_age": 0.2, "failures": 0, "waited": 6.8} |
      | 9.0 | b    | workers: a run has ended done. | {"task": "0.1.2", "run": 4001, "epoch": 5, "runner": "r1", "number": 1, "seconds": null} |
    When the job is explained
    Then task 0.1.2 is reported as started again, which is suspect: run 4001 was done
    And the later start was by b in epoch 5 at version 17, with what it knew 0.03 s old
    And b had logged owns the cell and takes the leases on unseen runners for run out by then
    And a report on task 0.1.2 alone has the same start, and task 0.1.3 is not found

  Scenario Outline: A task is started again because <cause>
    Given logs of hosts a and b
      | at  | host | text                            | fields                                       |
      | 0.0 | a    | placement: starts a task on r1. | {"task": "0.0.0", "run": 1001, "runner": "r1"} |
      | 1.0 | <by> | <text>                          | <fields>                                     |
      | 2.0 | a    | placement: starts a task on r2. | {"task": "0.0.0", "run": 1002, "runner": "r2"} |
    When the job is explained
    Then task 0.0.0 is reported as started again, which is <judged>: <words>

    Examples:
      | cause                             | by | text                                    | fields                    | judged  | words                      |
      | it failed                         | a  | workers: a run has ended failed.        | {"task": "0.0.0", "run": 1001, "runner": "r1"} | fair | a run has ended failed |
      | its leases expired                | a  | workers: the leases on r1 have run out. | {"job": null, "runner": "r1"} | fair | leases on r1 have run out |
      | its runner ended                  | a  | workers: a run was lost with r1.        | {"task": "0.0.0", "run": 1001, "runner": "r1", "seconds": 0.4} | fair | a run was lost with r1 |
      | its start was refused             | a  | placement: a start was refused: full.   | {"run": 1001, "runner": "r1"} | fair | a start was refused   |
      | its start was not sent            | a  | placement: a start was not answered: x. | {"run": 1001, "runner": "r1", "verdict": "not_run"} | fair | was not answered |
      | its start may have arrived        | a  | placement: a start was not answered: x. | {"run": 1001, "runner": "r1", "verdict": "unknown"} | suspect | of which no line tells |
      | another runner's leases expired   | a  | workers: the leases on r9 have run out. | {"job": null, "runner": "r9"} | suspect | of which no line tells |
      | another host read its end         | b  | workers: a run has ended failed.        | {"task": "0.0.0", "run": 1001, "runner": "r1"} | suspect | which b had read |
      | the run is not in the first list  | a  | workers: found 1 tasks on r1. | {"job": null, "runner": "r1", "first": true, "found": ["ff/0.0.0 1001 running"]} | fair | found 1 tasks on r1. Run 1001 was not there. |
      | the first list is empty           | a  | workers: found 0 tasks on r1. | {"job": null, "runner": "r1", "first": true, "found": []} | fair | found 0 tasks on r1 |
      | the first list is incomplete      | a  | workers: found 2 tasks on r1. | {"job": null, "runner": "r1", "first": true, "found": ["ff/0.0.0 1001 running"]} | suspect | of which no line tells |
      | the run is in the first list      | a  | workers: found 1 tasks on r1. | {"job": null, "runner": "r1", "first": true, "found": ["ID/0.0.0 1001 running"]} | suspect | of which no line tells |
      | the run is not in a later list    | a | workers: found 1 tasks on r1. | {"job": null, "runner": "r1", "first": false, "found": ["ff/0.0.0 1001 running"]} | suspect | of which no line tells |
      | another runner's list is empty    | a  | workers: found 0 tasks on r9. | {"job": null, "runner": "r9", "first": true, "found": []} | suspect | of which no line tells |
      | the owner waited for its leases   | a | ownership: takes the leases on unseen runners for run out. | {"job": null, "runners": ["r1"]} | fair | nothing of run 1001; 1.000 s before it takes the leases |
      | the owner waited for other leases | a  | ownership: takes the leases on unseen runners for run out. | {"job": null, "runners": ["r9"]} | suspect | of which no line tells |
      | the owner read nothing of it      | a  | workers: r1 is draining.                | {"job": null, "runner": "r1"} | suspect | of which no line tells |

  # Guards against one line that can't be decoded making the others unreadable.
  Scenario Outline: A log with <what>
    Given a log of a completed job that contains <what>
    When the job is explained
    Then the timeline has accepted, asked, ended, closed in this order
    And <count> lines are counted as bad

    Examples:
      | what                          | count |
      | a truncated line              | 1     |
      | a line of another program     | 1     |
      | bytes that are not UTF-8      | 1     |
      | a value nested 100000 deep    | 1     |
      | a value nested 3000 deep      | 1     |
      | a value nested 500 deep       | 1     |
      | a list of lists               | 0     |
      | a line without a host         | 1     |
      | a timestamp that is no number | 1     |
      | a timestamp of 1e300          | 1     |
      | a number of 400 digits        | 1     |
      | a number of 1e308             | 1     |
      | a task that is no number      | 0     |
      | an infinite timestamp         | 1     |
      | fields of unexpected types    | 0     |
      | a line of 5 MB                | 1     |
      | a field that is not UTF-8     | 1     |
      | blank lines                   | 0     |

  Scenario: Truncated logs and missing fields are reported
    Given logs of hosts a and b
      | at   | host | text                            | fields                                        |
      | 9.0  | a    | placement: starts a task on r1. | {"task": "0.0.0", "run": 2001, "runner": "r1", "waited": 8.5, "sampled": 10} |
    When the job is explained
    Then it was submitted 8.5 s before its start, and waited as long
    And the report says that no line tells where the job was accepted
    And the report says that no line tells the end of 1 of 1 runs
    And the report says that starts lack version, store_age, runner_age
    And the report says that the log of a begins 8.5 s after
    And the report says that only one of 10 lines

  Scenario: Why a job waited
    Given logs of hosts a and b
      | at  | host | text                            | fields                                       |
      | 0.0 | a    | jobs: POST ID: 200 by a peer.   | {}                                           |
      | 1.0 | b    | ownership: owns the cell.       | {"job": null, "epoch": 2}                    |
      | 1.5 | b    | placement: 0 of 9 runners are allowed. | {"step": 0}                           |
      | 1.6 | a    | log: has lost the store: cell: refused. | {"job": null}                        |
      | 1.7 | c    | log: has lost the store: cell: refused. | {"job": null}                        |
      | 4.0 | b    | placement: starts a task on r1. | {"task": "0.0.0", "run": 2001, "runner": "r1", "waited": 4.0} |
    When the job is explained
    Then it waited 4.0 s because of: owns the cell, 0 of 9 runners are allowed, a has lost the store

  Scenario: A new owner finds runs of several jobs on one runner
    Given logs of hosts a and b
      | at  | host | text                          | fields                                         |
      | 0.0 | b    | workers: found 3 tasks on r1. | {"job": null, "runner": "r1", "epoch": 2, "found": ["ID/0.0.0 1001 running", "ff/0.0.0 1001 running", "ID/0.0.1 1002 stopping"]} |
      | 0.1 | b    | workers: found 1 tasks on r1. | {"job": null, "runner": "r1", "epoch": 2, "found": ["ff/0.0.2 1001 running"]} |
      | 1.0 | b    | workers: a run has ended done. | {"task": "0.0.0", "run": 1001, "runner": "r1", "number": 4} |
      | 1.1 | b    | workers: ends on r1: unknown. | {"job": null, "jobs": ["ID"], "runner": "r1", "number": 4} |
      | 1.2 | b    | workers: a run has ended done. | {"task": "0.0.1", "run": 1002, "runner": "r1", "number": 5} |
      | 1.3 | b    | workers: ends on r1: stored.  | {"job": null, "jobs": ["ID"], "runner": "r1", "number": 5} |
    When the job is explained
    Then the timeline has found, found, ended, not noted, ended, noted in this order
    And its runs are 0.0.0 1001 noted 1.3 and 0.0.1 1002 noted 1.3
    And the timeline of task 0.0.1 alone is found, found, ended, noted

  Scenario: Equal lines of many hosts are merged
    Given 30 hosts that log that r1 is draining while a task runs there
    When the job is explained
    Then one line says that r1 is draining, logged 30 times

  Scenario: Ids that contain the id of the job
    Given logs of hosts a and b
      | at  | host | text                             | fields                                      |
      | 0.0 | a    | jobs: POST ID: 200 by a peer.    | {}                                          |
      | 0.1 | a    | jobs: POST IDff: 200 by a peer.  | {"job": "IDff"}                             |
    When the job is explained
    Then the timeline has accepted in this order

  Scenario: From standard input, as a table
    Given a log of a completed job that contains blank lines
    When the tool explains the job from standard input
    Then it exits with 0 and writes closed

  Scenario Outline: An error of explain <words>
    When the tool is run with explain <words>
    Then it exits with <status> and the one line of error names <error>

    Examples:
      | words               | status | error             |
      | 1f /nowhere/a.log   | 2      | readable          |
      | 1f/9 README.md      | 2      | JOB/TASK          |
      | 1f README.md        | 1      | no line names 1f  |
