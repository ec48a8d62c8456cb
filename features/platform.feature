Feature: Entry hosts on the users' platform

  Real hosts, one process each, against stand-ins for the platform's store, runners and policy
  service. The runs recorded by the runners are checked.

  Background:
    Given the platform and 3 entry hosts

  Scenario Outline: A job is submitted and completed
    When a job is submitted to the queue <queue>
    Then every host reports that it is completed
    And no task ran twice and no runner exceeded its capacity

    Examples:
      | queue   |
      | plain   |
      | advised |

  Scenario: Dozens of jobs
    When 40 jobs of 3 tasks are submitted to all hosts
    Then all of them are completed
    And no task ran twice and no runner exceeded its capacity

  Scenario Outline: Invalid requests are refused
    When <method> <path> is requested with <body>
    Then the answer is <status>

    Examples:
      | method | path                      | body                                      | status |
      | POST   | /plain/0123456789abcdef   | {"spec":"x"}                              | 400    |
      | POST   | /plain/0123456789abcdef   | not json                                  | 400    |
      | POST   | /plain/0123456789abcdef   | {"spec":"x","steps":[]}                   | 400    |
      | POST   | /plain/0123456789abcdef   | {"spec":"x","steps":[{"count":0}]}        | 400    |
      | POST   | /plain/0123456789abcdef   | {"spec":"x","steps":[{"depends_on":[0]}]} | 400    |
      | POST   | /plain/0123456789abcdef   | {"spec":"x","steps":[{"cpu":-1}]}         | 400    |
      | POST   | /plain/xyz                | {"spec":"1 1","steps":[{"count":1}]}      | 400    |
      | POST   | /nowhere/0123456789abcdef | {"spec":"1 1","steps":[{"count":1}]}      | 404    |
      | GET    | /plain/0123456789abcdef   | nothing                                   | 410    |
      | DELETE | /plain/0123456789abcdef   | nothing                                   | 410    |
      | GET    | /plain/                   | nothing                                   | 200    |

  # Guards against a cancelled job that continues to run or is started again.
  Scenario: A job is cancelled while it runs
    When a long job is submitted and cancelled while it runs
    Then every host reports that it is cancelled
    And its task is stopped

  # Guards against starting a task again that was started by a dead owner and still runs.
  Scenario: The owner is killed while a job runs
    When a long job is submitted and the owner is killed while it runs
    Then the other hosts report that the job is completed
    And no task ran twice and no runner exceeded its capacity
    And the logs show which hosts accepted, started, took over, found, stored and completed it

  # Guards against a task that is not stopped because its job was cancelled after the owner died.
  Scenario Outline: The owner is killed between a start and its cancellation
    When the owner is killed while a long job runs on a runner whose entry <entry>
    And its client cancels the job at another host
    Then its task is stopped

    Examples:
      | entry      |
      | stays      |
      | is removed |

  # All hosts lose power right after the client was told that its job is accepted.
  Scenario: All hosts are killed right after a job was accepted
    When a job is submitted and all hosts are killed and started again
    Then every host reports that it is completed

  # Guards against running a job that was refused while the store was down.
  Scenario: The store is down temporarily
    When the store is down while jobs are submitted
    Then each is refused with a Retry-After time, and none of them runs
    And the logs show for each of them that it was refused, and what was tried
    When the platform is available again
    Then a new job is completed

  # Guards against running a job twice because the answer to an append was lost.
  Scenario: Answers of the store are lost
    When 20 jobs are submitted while a third of the store's answers are lost
    Then all of them are completed
    And no task ran twice and no runner exceeded its capacity

  Scenario: A runner crashes with tasks on it
    When a long job is submitted and its runner crashes
    Then every host reports that it is completed
    And no task ran twice and no runner exceeded its capacity

  # Guards against a planned stop that interrupts jobs.
  Scenario: The owner is stopped
    When the owner is stopped while jobs are submitted to the others
    Then all of them are completed
    And the stopped host has exited with status 0
    And the store has no member record of the stopped host
    When the stopped host is started again
    Then the store has a member record of each host

  # Guards against losing or repeating tasks while another writer fills the runners' topic.
  Scenario: Another writer fills the runners' topic while jobs run
    When another writer fills the runners' topic while 30 jobs are submitted
    Then all of them are completed
    And no task ran twice and no runner exceeded its capacity
    And every host still runs and has counted unreadable records

  # The successor of the killed owner reads the same topic from a snapshot.
  Scenario: The owner is killed while another writer fills the runners' topic
    When another writer is active, and the owner is killed while a long job runs
    Then the other hosts report that the job is completed
    And no task ran twice and no runner exceeded its capacity

  # Guards against reporting a job as completed that only hosts and a runner know to be done: once
  # they are lost, its task starts again.
  Scenario Outline: Jobs end while the store is down, and hosts and a runner are lost
    When the store goes down while 12 jobs run, until all of them have ended
    Then no host reports any of them as completed
    When <hosts> and a runner on which jobs ended crash before the platform is available again
    Then all of them are reported as completed, each only once the store has its end
    And no task was started after its job was reported as completed
    And each job that ended on another runner has run once

    Examples:
      | hosts     |
      | the owner |
      | all hosts |
