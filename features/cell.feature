Feature: Job and runner state of an owner, and its plans

  # Guards against new work that waits for a runner that has ended.
  Scenario: New work after a take-over does not wait for a runner that has ended
    Given a successor that cannot reach the runner w3
    When a job is submitted
    Then it starts at once

  # Guards against a second start of a task that a runner of an earlier owner still runs.
  Scenario Outline: A job is blocked while its tasks may run on an unseen runner
    Given a successor that cannot reach the runner w3
    When it reads a job from the store that may run on <runner>
    Then it <outcome>

    Examples:
      | runner | outcome        |
      | w3     | stays blocked  |
      | w2     | starts at once |

  Scenario: The job resumes once the runner has listed its tasks
    Given a successor that cannot reach the runner w3
    When it reads a job from the store that may run on w3
    And w3 is polled and does not list the task
    Then it starts at once

  # Guards against starting a cancelled job again when its submission arrives a second time.
  Scenario Outline: The submission of an ended job arrives a second time
    Given a cell with the runners w1
    When it reads a job from the store that is <state>
    Then nothing starts

    Examples:
      | state     |
      | cancelled |
      | completed |
      | failed    |

  # Guards against reusing the capacity of a task that is still being stopped.
  Scenario: A task that is being stopped counts until its end is listed
    Given a cell with the runners w1
    And a running job that fills w1
    When the job is cancelled and another one is submitted
    Then nothing starts
    When w1 lists the end of the stopped run
    Then the other job starts

  # Guards against starting a task elsewhere while its first start may still arrive.
  Scenario: An unanswered start counts until its stop has been acknowledged
    Given a cell with the runners w1, w2
    And a job whose unanswered start is stopped
    When the runner is polled before it has acknowledged the stop
    Then the task does not start elsewhere
    When the runner acknowledges the stop and is polled again
    Then the task starts with a higher run number

  # Guards against treating a run as lost because of a poll from before its start took effect.
  Scenario Outline: A poll that does not list a run
    Given a cell with the runners w1
    And a running job that fills w1
    When a poll that was sent <when> the start was answered does not list it
    Then the run <fate>

    Examples:
      | when   | fate          |
      | before | is still held |
      | after  | is lost       |

  # Guards against counting a failure twice when two owners read it.
  Scenario: A failed end that is listed to two owners counts once
    Given a cell with the runners w1
    And a running job that fills w1
    When its run fails, and the same end is listed to a successor that has read the progress
    Then the job is not failed

  Scenario: A job fails after its last allowed attempt
    Given a cell with the runners w1, w2
    When a job fails on two runs
    Then the job is failed

  # Guards against a second run that finishes after the first one is done.
  Scenario: A task that was done by an earlier run
    Given a cell with the runners w1, w2
    And a job that runs for the second time on another runner
    When the first runner lists the end of the first run as done
    Then the second run is stopped and the job is complete

  # Guards against exceeding the limit of tasks of a step on one runner.
  Scenario: A run that is being stopped counts against the limit per runner
    Given a cell with the runners w1, w2
    And a job of 2 tasks, one on each runner at most, whose first task runs again on w2
    When w1 lists the end of the first run as done, and the other task is free to start
    Then it does not start on w2 before the stopped run has ended

  # Guards against gang members that wait for each other while one start stays unanswered.
  Scenario: A gang of which one start stays unanswered
    Given a cell with the runners w1, w2
    And a gang of 4 tasks of 12000 millicores with one start unanswered
    When the time in which the gang must have started has passed
    Then its other members are stopped

  # Guards against gang members that keep waiting for a member whose start was withdrawn.
  Scenario: A gang of which one start is withdrawn
    Given a cell with the runners w1, w2
    And a gang of 4 tasks of 12000 millicores with one start unanswered
    When that start is withdrawn as it may or may not have arrived
    Then its other members are stopped

  Scenario: A gang that does not fit at once
    Given a cell with the runners w1, w2
    When a gang of 5 tasks of 12000 millicores is submitted
    Then nothing starts

  # Guards against gangs that starve while small tasks use every slot.
  Scenario Outline: Batch tasks that backfill while a gang waits for capacity
    Given a cell with the runners w1, w2
    And urgent tasks that fill w1 for 2 s and half of w2 for 2 s
    When a gang of 2 tasks of 20000 millicores and a batch task of <seconds> s are submitted
    Then the batch task <outcome>

    Examples:
      | seconds | outcome |
      | 1       | starts  |
      | 5       | waits   |

  # Guards against gangs that miss their objective behind tasks that could resume elsewhere.
  Scenario Outline: Preemption of tasks for a gang
    Given a cell with the runners w1, w2
    And <tasks> that fill w1 and w2 for <seconds> s
    When a gang of 2 tasks of 20000 millicores is submitted after them
    Then <count> of them are stopped

    Examples:
      | tasks                         | seconds | count |
      | batch tasks with checkpoints  | 4       | 6     |
      | batch tasks with checkpoints  | 0.6     | 0     |
      | batch tasks                   | 4       | 0     |
      | urgent tasks with checkpoints | 4       | 0     |

  # A batch job of 4 s has an objective of 19 s, which it would miss if preempted late.
  Scenario Outline: Tasks of a job that would miss its objective are not preempted
    Given a cell with the runners w1, w2
    And a job submitted <age> s ago, whose batch tasks with checkpoints fill w1 and w2 for 4 s
    When a gang of 2 tasks of 20000 millicores is submitted after them
    Then <count> of them are stopped

    Examples:
      | age | count |
      | 10  | 6     |
      | 13  | 0     |

  Scenario: The gang starts once the preempted tasks have ended, and they resume later
    Given a cell with the runners w1, w2
    And batch tasks with checkpoints that fill w1 and w2 for 4 s
    When a gang of 2 tasks of 20000 millicores is submitted after them
    And the stopped tasks are listed with their checkpoints
    Then the gang starts
    And each stopped task waits with its checkpoint

  Scenario: Nothing is stopped before the gang has its tickets
    Given a cell of 2 runners whose queue needs advice
    And plain tasks with checkpoints that fill both
    When a gang of 2 tasks of 20000 millicores is submitted after them
    And it is allowed on both runners, with tickets that have expired
    Then nothing is stopped, and new tickets are requested
    When the tickets arrive
    Then 6 of them are stopped

  Scenario: The gang starts when its slots are free
    Given a cell with the runners w1, w2
    And urgent tasks that fill w1 for 2 s and half of w2 for 2 s
    When a gang of 2 tasks of 20000 millicores and a batch task of 5 s are submitted
    And the urgent tasks are done
    Then the gang starts

  # Guards against urgent work that waits for an earlier gang's reservation.
  Scenario: Urgent work that arrives after a gang's reservation was made
    Given a cell with the runners w1, w2
    And a gang that waits for both of them
    When an urgent job of 20 s is submitted 0.01 s later
    Then it starts at once

  # Guards against late gangs that never get tickets.
  Scenario: A gang that is far too late still gets its tickets
    Given a cell of 40 runners whose queue needs advice
    When a gang that was submitted an hour ago waits for tickets that expired
    Then new tickets are requested

  # The policy service takes time for every runner that a request names.
  Scenario: A request names no more runners than a step needs
    Given a cell of 40 runners whose queue needs advice
    When a job of 2 tasks is submitted
    Then the request names 12 runners
    And the job starts on the runners that are allowed

  # Guards against gangs that learn too slowly where they may run.
  Scenario: A gang sends several requests in parallel
    Given a cell of 176 runners whose queue needs advice
    When a gang of 20 tasks of 9000 millicores requests tickets
    Then 3 requests name 94 runners, none of them twice
    And nothing more is requested until the last answer

  # Guards against requests for tickets that expire before there is free capacity.
  Scenario: No request for runners without free capacity
    Given a cell of 40 runners whose queue needs advice
    And tasks of another queue on all of them
    When a job of 2 tasks is submitted
    Then no advice is requested

  Scenario: No more requests than the free capacity can use
    Given a cell of 40 runners whose queue needs advice
    And tasks of another queue on 39 of them
    When 50 jobs of one task of 8000 millicores are submitted
    Then 6 requests are made

  Scenario Outline: Hosts that stay free for urgent requests
    Given 8 hosts that are slow to answer
    When 10 requests of priority 1 and then one of priority <priority> are made
    Then <count> hosts are busy, and the last request is <fate>

    Examples:
      | priority | count | fate   |
      | 0        | 7     | sent   |
      | 1        | 6     | queued |

  Scenario: Tickets that have expired are requested again
    Given a cell of 40 runners whose queue needs advice
    When a job of 2 tasks is submitted
    And its tickets expire before it could start
    Then the next request names only allowed runners

  Scenario: No starts on a draining runner
    Given a cell with the runners w1
    When w1 drains and a job is submitted
    Then nothing starts

  # Guards against losing the tasks on a draining runner.
  Scenario Outline: Tasks on a draining runner
    Given a cell with the runners w1
    And a running task of <seconds> s on w1
    When w1 drains
    Then the task is <fate>

    Examples:
      | seconds | fate    |
      | 0.5     | kept    |
      | 3       | stopped |

  Scenario: A task that exceeds its estimate is stopped before its runner exits
    Given a cell with the runners w1
    And a running task of 0.5 s on w1
    When w1 drains
    And 1.5 s later the task still runs
    Then the task is stopped

  # Guards against starting a task of a job that was cancelled before the send.
  Scenario: A start is withdrawn when its job is cancelled before it is sent
    Given a cell with the runners w1
    When a job is planned and cancelled before its start is sent
    Then the start may not be sent

  # Guards against treating a lease as expired that a runner with a slow clock still holds.
  Scenario Outline: When the leases of a silent runner have expired
    Given a lease of 5 s granted to a runner that stops answering
    When <seconds> s have passed
    Then the leases have expired: <answer>

    Examples:
      | seconds | answer |
      | 5.0     | no     |
      | 5.05    | no     |
      | 5.2     | yes    |

  # Guards against leases of a crashed runner that are extended forever.
  Scenario: A crashed runner is polled while its leases expire
    Given a lease of 5 s granted to a runner that stops answering
    When it is polled repeatedly without an answer
    Then the leases have expired: yes

  Scenario: Steps wait for the steps that they depend on
    Given a cell with the runners w1
    When a job of two consecutive steps is submitted
    Then only the first step starts
    When the first step is done
    Then the second step starts

  Scenario Outline: Where a task may run
    Given a cell with the runners w1, w2
    When a job whose step has <rule> is submitted
    Then it has <counts> tasks on w1 and w2

    Examples:
      | rule                     | counts |
      | 4 tasks                  | 4, 0   |
      | 4 tasks, at most 2 each  | 2, 2   |
      | 2 tasks that need b      | 0, 2   |
      | 2 tasks with data at r-2 | 0, 2   |
