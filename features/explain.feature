Feature: The story of a job, told from the logs of many hosts

  Scenario: A job that went well
    Given logs of hosts a and b
      | at  | host | text                         | fields                                          |
      | 0.5 | b    | placement: starts a task on r1. | {"task": "0.0.0", "run": 3001, "epoch": 3, "runner": "r1", "version": 16, "store_age": 0.02, "runner_age": 0.4, "failures": 0, "waited": 0.45} |
      | 0.1 | a    | jobs: POST ID: 200 by a peer. | {"book_age": 0.2, "owner": "b", "epoch": 3}   |
      | 1.6 | b    | workers: a run has ended done. | {"task": "0.0.0", "run": 3001, "epoch": 3, "runner": "r1", "number": 7, "seconds": 1.0} |
      | 1.7 | b    | workers: ends on r1: stored. | {"jobs": ["ID"], "runner": "r1", "number": 7, "acknowledged": 7} |
      | 1.7 | b    | jobs: job ID is completed.   | {}                                              |
      | 0.9 | a    | workers: r1 is ready.        | {"runner": "r1", "job": null}                   |
    When its story is told
    Then it tells accepted, asked, ended, noted, closed in this order
    And its run 3001 was started by b on r1, ended done and was noted
    And nothing was started again, and nothing is said to be not known

  # Guards against a story that does not tell which of two owners started a task again, and why.
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
    When its story is told
    Then task 0.1.2 is told to be started again, which is suspect: run 4001 was done
    And the later start was by b in epoch 5 at version 17, with what it knew 0.03 s old
    And b had written owns the cell and takes the leases on unseen runners for run out by then
    And the same is told of task 0.1.2 alone, and of task 0.1.3 nothing

  Scenario Outline: A task is started again because <cause>
    Given logs of hosts a and b
      | at  | host | text                            | fields                                       |
      | 0.0 | a    | placement: starts a task on r1. | {"task": "0.0.0", "run": 1001, "runner": "r1"} |
      | 1.0 | <by> | <text>                          | <fields>                                     |
      | 2.0 | a    | placement: starts a task on r2. | {"task": "0.0.0", "run": 1002, "runner": "r2"} |
    When its story is told
    Then task 0.0.0 is told to be started again, which is <judged>: <words>

    Examples:
      | cause             | by | text                                    | fields                    | judged  | words                      |
      | it had failed     | a  | workers: a run has ended failed.        | {"task": "0.0.0", "run": 1001, "runner": "r1"} | fair | a run has ended failed |
      | leases ran out    | a  | workers: the leases on r1 have run out. | {"job": null, "runner": "r1"} | fair | leases on r1 have run out |
      | its runner ended  | a  | workers: a run was lost with r1.        | {"task": "0.0.0", "run": 1001, "runner": "r1", "seconds": 0.4} | fair | a run was lost with r1 |
      | it was refused    | a  | placement: a start was refused: full.   | {"run": 1001, "runner": "r1"} | fair | a start was refused   |
      | it was not sent   | a  | placement: a start was not answered: x. | {"run": 1001, "runner": "r1", "verdict": "not_run"} | fair | was not answered |
      | it may have come  | a  | placement: a start was not answered: x. | {"run": 1001, "runner": "r1", "verdict": "unknown"} | suspect | of which no line tells |
      | another was gone  | a  | workers: the leases on r9 have run out. | {"job": null, "runner": "r9"} | suspect | of which no line tells |
      | another was told  | b  | workers: a run has ended failed.        | {"task": "0.0.0", "run": 1001, "runner": "r1"} | suspect | which b had read |
      | it was not found  | a  | workers: found 1 tasks on r1. | {"job": null, "runner": "r1", "first": true, "found": ["ff/0.0.0 1001 running"]} | fair | found 1 tasks on r1. Run 1001 was not there. |
      | nothing was found | a  | workers: found 0 tasks on r1. | {"job": null, "runner": "r1", "first": true, "found": []} | fair | found 0 tasks on r1 |
      | not all was named | a  | workers: found 2 tasks on r1. | {"job": null, "runner": "r1", "first": true, "found": ["ff/0.0.0 1001 running"]} | suspect | of which no line tells |
      | it was found      | a  | workers: found 1 tasks on r1. | {"job": null, "runner": "r1", "first": true, "found": ["ID/0.0.0 1001 running"]} | suspect | of which no line tells |
      | a later look had news | a | workers: found 1 tasks on r1. | {"job": null, "runner": "r1", "first": false, "found": ["ff/0.0.0 1001 running"]} | suspect | of which no line tells |
      | another was empty | a  | workers: found 0 tasks on r9. | {"job": null, "runner": "r9", "first": true, "found": []} | suspect | of which no line tells |
      | leases were waited for | a | ownership: takes the leases on unseen runners for run out. | {"job": null, "runners": ["r1"]} | fair | nothing of run 1001; 1.000 s before it takes the leases |
      | others' were      | a  | ownership: takes the leases on unseen runners for run out. | {"job": null, "runners": ["r9"]} | suspect | of which no line tells |
      | nobody was told   | a  | workers: r1 is draining.                | {"job": null, "runner": "r1"} | suspect | of which no line tells |

  # Guards against one line that cannot be read costing the others.
  Scenario Outline: A log with <what>
    Given a log of a job that went well, with <what> in its midst
    When its story is told
    Then it tells accepted, asked, ended, closed in this order
    And <count> lines are counted as bad

    Examples:
      | what                         | count |
      | a line that is cut           | 1     |
      | a line of another program    | 1     |
      | bytes that are no text       | 1     |
      | a value nested 100000 deep   | 1     |
      | a value nested 3000 deep     | 1     |
      | a line without a host        | 1     |
      | a time that is no number     | 1     |
      | a time beyond all numbers    | 1     |
      | fields of other types        | 0     |
      | a line of 5 MB               | 1     |
      | a field that is no text      | 1     |
      | blank lines                  | 0     |

  Scenario: Logs that begin too late, or lack fields, are named
    Given logs of hosts a and b
      | at   | host | text                            | fields                                        |
      | 9.0  | a    | placement: starts a task on r1. | {"task": "0.0.0", "run": 2001, "runner": "r1", "waited": 8.5, "sampled": 10} |
    When its story is told
    Then it was handed in 8.5 s before its start, and waited so long
    And it is said that no line tells where the job was accepted
    And it is said that no line tells the end of 1 of 1 runs
    And it is said that starts lack version, store_age, runner_age
    And it is said that the log of a begins 8.5 s after
    And it is said that only one of 10 lines

  Scenario: Why a job waited
    Given logs of hosts a and b
      | at  | host | text                            | fields                                       |
      | 0.0 | a    | jobs: POST ID: 200 by a peer.   | {}                                           |
      | 1.0 | b    | ownership: owns the cell.       | {"job": null, "epoch": 2}                    |
      | 1.5 | b    | placement: 0 of 9 runners are allowed. | {"step": 0}                           |
      | 1.6 | a    | log: has lost the store: cell: refused. | {"job": null}                        |
      | 1.7 | c    | log: has lost the store: cell: refused. | {"job": null}                        |
      | 4.0 | b    | placement: starts a task on r1. | {"task": "0.0.0", "run": 2001, "runner": "r1", "waited": 4.0} |
    When its story is told
    Then it waited 4.0 s, for: owns the cell, 0 of 9 runners are allowed, a has lost the store

  Scenario: A new owner finds runs of several jobs on one runner
    Given logs of hosts a and b
      | at  | host | text                          | fields                                         |
      | 0.0 | b    | workers: found 3 tasks on r1. | {"job": null, "runner": "r1", "epoch": 2, "found": ["ID/0.0.0 1001 running", "ff/0.0.0 1001 running", "ID/0.0.1 1002 stopping"]} |
      | 0.1 | b    | workers: found 1 tasks on r1. | {"job": null, "runner": "r1", "epoch": 2, "found": ["ff/0.0.2 1001 running"]} |
      | 1.0 | b    | workers: a run has ended done. | {"task": "0.0.0", "run": 1001, "runner": "r1", "number": 4} |
      | 1.1 | b    | workers: ends on r1: unknown. | {"job": null, "jobs": ["ID"], "runner": "r1", "number": 4} |
      | 1.2 | b    | workers: a run has ended done. | {"task": "0.0.1", "run": 1002, "runner": "r1", "number": 5} |
      | 1.3 | b    | workers: ends on r1: stored.  | {"job": null, "jobs": ["ID"], "runner": "r1", "number": 5} |
    When its story is told
    Then it tells found, found, ended, not noted, ended, noted in this order
    And its runs are 0.0.0 1001 noted 1.3 and 0.0.1 1002 noted 1.3
    And of task 0.0.1 alone it tells found, found, ended, noted

  Scenario: Hosts that all tell the same are told once
    Given 30 hosts that tell that r1 is draining while a task runs there
    When its story is told
    Then one line tells that r1 is draining, told 30 times

  Scenario: Ids of other jobs, and words within them
    Given logs of hosts a and b
      | at  | host | text                             | fields                                      |
      | 0.0 | a    | jobs: POST ID: 200 by a peer.    | {}                                          |
      | 0.1 | a    | jobs: POST IDff: 200 by a peer.  | {"job": "IDff"}                             |
    When its story is told
    Then it tells accepted in this order

  Scenario: From standard input, as a table
    Given a log of a job that went well, with blank lines in its midst
    When the tool tells its story from standard input
    Then it exits with 0 and writes closed

  Scenario Outline: What can't be told: <words>
    When the tool is run with explain <words>
    Then it exits with <status> and the one line of error names <error>

    Examples:
      | words               | status | error             |
      | 1f /nowhere/a.log   | 2      | readable          |
      | 1f/9 README.md      | 2      | JOB/TASK          |
      | 1f README.md        | 1      | no line names 1f  |
