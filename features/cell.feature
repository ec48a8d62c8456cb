Feature: The owner's knowledge of jobs and runners

  # Guards against new work that waits for a runner which is gone.
  Scenario: New work after a take-over does not wait for a runner that is gone
    Given a successor that cannot see the runner w3
    When a job is handed in
    Then it starts at once

  # Guards against starting a task elsewhere that a former owner's runner still runs.
  Scenario Outline: A job whose tasks may run unseen is left alone
    Given a successor that cannot see the runner w3
    When it takes a job that the store names with <runner>
    Then it <outcome>

    Examples:
      | runner | outcome            |
      | w3     | is left alone      |
      | w2     | starts at once     |

  Scenario: The job goes on once the runner has listed what it holds
    Given a successor that cannot see the runner w3
    When it takes a job that the store names with w3
    And w3 answers and does not hold the task
    Then it starts at once

  # Guards against starting a cancelled job again whose submission lands once more.
  Scenario Outline: A job that is over, whose submission lands once more
    Given a cell with the runners w1
    When it takes a job that the store names as <state>
    Then nothing starts

    Examples:
      | state     |
      | cancelled |
      | completed |
      | failed    |

  # Guards against giving away the room of a task that is still being stopped.
  Scenario: A task that is being stopped counts until its end is listed
    Given a cell with the runners w1
    And a running job that fills w1
    When the job is cancelled and another one is handed in
    Then nothing starts
    When w1 lists the end of the stopped run
    Then the other job starts

  # Guards against starting a task elsewhere while its first start may still arrive.
  Scenario: A start without an answer counts until a stop has been taken
    Given a cell with the runners w1, w2
    And a job whose start was not answered and is taken back
    When the runner is looked at before it has taken the stop
    Then the task waits for nobody else to run it
    When the runner takes the stop and is looked at again
    Then the task starts with a higher run number

  # Guards against taking a run for gone by a poll that was listed before its start took effect.
  Scenario Outline: A look that does not list a run
    Given a cell with the runners w1
    And a running job that fills w1
    When a look that was sent <when> the start was answered does not list it
    Then the run <fate>

    Examples:
      | when   | fate          |
      | before | is still held |
      | after  | is lost       |

  # Guards against counting a failure twice that two owners read.
  Scenario: A failed end that is listed to two owners counts once
    Given a cell with the runners w1
    And a running job that fills w1
    When its run fails, and a successor that has read the progress is told the same end
    Then the job is not failed

  Scenario: A job fails when its attempts are used up
    Given a cell with the runners w1, w2
    When a job fails on two runs
    Then the job is failed

  # Guards against a second run that finishes after the first one is done.
  Scenario: A task that was done by an earlier run
    Given a cell with the runners w1, w2
    And a job that runs for the second time on another runner
    When the first runner lists the end of the first run as done
    Then the second run is stopped and the job is complete

  # Guards against one task of a step more on a runner than may run together.
  Scenario: A run that is being stopped counts for the limit of a runner
    Given a cell with the runners w1, w2
    And a job of 2 tasks, one on each runner at most, whose first task runs again on w2
    When w1 lists the end of the first run as done, and the other task is free to start
    Then it does not start on w2 before the stopped run has ended

  # Guards against gang members that wait for each other while one start stays unanswered.
  Scenario: A gang of which one start stays unanswered
    Given a cell with the runners w1, w2
    And a gang of 4 tasks of 12000 with one start unanswered
    When the gang's share of the timeout has passed
    Then its other members are stopped

  # Guards against gang members that are left alone when one start is taken back.
  Scenario: A gang of which one start is taken back
    Given a cell with the runners w1, w2
    And a gang of 4 tasks of 12000 with one start unanswered
    When that start is taken back as nobody knows whether it arrived
    Then its other members are stopped

  Scenario: A gang that does not fit at once
    Given a cell with the runners w1, w2
    When a gang of 5 tasks of 12000 is handed in
    Then nothing starts

  # Guards against gangs that starve while small tasks take each seat.
  Scenario Outline: Batch tasks while a gang waits for room
    Given a cell with the runners w1, w2
    And urgent tasks that fill w1 for 2 s and half of w2 for 2 s
    When a gang of 2 tasks of 20000 and a batch task of <seconds> s are handed in
    Then the batch task <outcome>

    Examples:
      | seconds | outcome |
      | 1       | starts  |
      | 5       | waits   |

  # Guards against gangs that come late behind tasks that could go on elsewhere.
  Scenario Outline: Tasks that make room for a gang
    Given a cell with the runners w1, w2
    And <tasks> that fill w1 and w2 for <seconds> s
    When a gang of 2 tasks of 20000 comes after them
    Then <count> of them are stopped

    Examples:
      | tasks                         | seconds | count |
      | batch tasks with checkpoints  | 4       | 6     |
      | batch tasks with checkpoints  | 0.6     | 0     |
      | batch tasks                   | 4       | 0     |
      | urgent tasks with checkpoints | 4       | 0     |

  # A batch job of 4 s has 19 s. Stopped late, it would come after its objective.
  Scenario Outline: Tasks of a job that would come late are not stopped
    Given a cell with the runners w1, w2
    And a job handed in <age> s ago, of batch tasks with checkpoints, in all of w1 and w2 for 4 s
    When a gang of 2 tasks of 20000 comes after them
    Then <count> of them are stopped

    Examples:
      | age | count |
      | 10  | 6     |
      | 13  | 0     |

  Scenario: The gang starts once they have ended, and they go on later
    Given a cell with the runners w1, w2
    And batch tasks with checkpoints that fill w1 and w2 for 4 s
    When a gang of 2 tasks of 20000 comes after them
    And the stopped tasks are listed with their checkpoints
    Then the gang starts
    And each stopped task waits with its checkpoint

  Scenario: Nothing is stopped before the gang has its tickets
    Given a cell of 2 runners whose queue asks for advice
    And plain tasks with checkpoints that fill both
    When a gang of 2 tasks of 20000 comes after them
    And it is allowed on both runners by tickets that have expired
    Then nothing is stopped, and new tickets are asked for
    When the tickets are there
    Then 6 of them are stopped

  Scenario: The gang starts when its seats are free
    Given a cell with the runners w1, w2
    And urgent tasks that fill w1 for 2 s and half of w2 for 2 s
    When a gang of 2 tasks of 20000 and a batch task of 5 s are handed in
    And the urgent tasks are done
    Then the gang starts

  # Guards against urgent work that waits for an earlier gang's reservation.
  Scenario: Urgent work that comes after a gang's reservation was made
    Given a cell with the runners w1, w2
    And a gang that waits for both of them
    When an urgent job of 20 s comes 0.01 s later
    Then it starts at once

  # Guards against late gangs that never get tickets.
  Scenario: A gang that is far too late still gets its tickets
    Given a cell of 40 runners whose queue asks for advice
    When a gang that was handed in an hour ago waits for tickets that expired
    Then new tickets are asked for

  # Each question takes the policy service time for every runner that it names.
  Scenario: A question names no more runners than a step needs
    Given a cell of 40 runners whose queue asks for advice
    When a job of 2 tasks is handed in
    Then the question names 12 runners
    And the job starts on the runners that are allowed

  # Guards against gangs that learn too slowly where they may run.
  Scenario: A gang puts several questions at the same time
    Given a cell of 176 runners whose queue asks for advice
    When a gang of 20 tasks of 9000 asks for tickets
    Then 3 questions name 94 runners, none of them twice
    And nothing more is asked until the last answer

  # Guards against requests for tickets that expire before there is room.
  Scenario: No question where there is no room
    Given a cell of 40 runners whose queue asks for advice
    And tasks of another queue on all of them
    When a job of 2 tasks is handed in
    Then nothing is asked

  Scenario: No more questions than the free room can use
    Given a cell of 40 runners whose queue asks for advice
    And tasks of another queue on 39 of them
    When 50 jobs of a task of 8000 are handed in
    Then 6 questions are asked

  Scenario Outline: Hosts that stay free for urgent questions
    Given 8 hosts that are slow to answer
    When 10 questions of priority 1 and then one of priority <priority> are put
    Then <count> hosts are busy, and the last question is <fate>

    Examples:
      | priority | count | fate  |
      | 0        | 7     | put   |
      | 1        | 6     | kept  |

  Scenario: Tickets that have expired are asked for again
    Given a cell of 40 runners whose queue asks for advice
    When a job of 2 tasks is handed in
    And its tickets expire before it could start
    Then the next question names only allowed runners

  Scenario: Nothing new on a runner that drains
    Given a cell with the runners w1
    When w1 drains and a job is handed in
    Then nothing starts

  # Guards against losing tasks with a runner that drains.
  Scenario Outline: Tasks on a runner that drains
    Given a cell with the runners w1
    And a running task of <seconds> s on w1
    When w1 drains
    Then the task is <fate>

    Examples:
      | seconds | fate      |
      | 0.5     | left      |
      | 3       | stopped   |

  Scenario: A task that outlives its estimate is stopped before its runner leaves
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

  # Guards against taking a lease for run out that a slow clock still holds.
  Scenario Outline: When a silent runner's leases have run out
    Given a lease of 5 s granted to a runner that falls silent
    When <seconds> s have passed
    Then the leases have run out: <answer>

    Examples:
      | seconds | answer |
      | 5.0     | no     |
      | 5.05    | no     |
      | 5.2     | yes    |

  # Guards against leases of a crashed runner that are extended for ever.
  Scenario: A crashed runner is looked at while its leases run out
    Given a lease of 5 s granted to a runner that falls silent
    When it is looked at again and again without an answer
    Then the leases have run out: yes

  Scenario: Steps wait for the steps that they depend on
    Given a cell with the runners w1
    When a job of two steps in a row is handed in
    Then only the first step starts
    When the first step is done
    Then the second step starts

  Scenario Outline: Where a task may run
    Given a cell with the runners w1, w2
    When a job with <rule> is handed in
    Then it holds <counts> on w1 and w2

    Examples:
      | rule                     | counts |
      | 4 tasks                  | 4, 0   |
      | 4 tasks, at most 2 each  | 2, 2   |
      | 2 tasks that need b      | 0, 2   |
      | 2 tasks with data at r-2 | 0, 2   |
