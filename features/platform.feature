Feature: Entry hosts on the users' platform

  Real hosts, one process each, against a store, runners and a policy service that
  speak the platform's protocol. The runners' own records judge.

  Background:
    Given the platform and 3 entry hosts

  Scenario Outline: A job from hand-in to its end
    When a job is handed in at the queue <queue>
    Then every host tells that it is completed
    And no task ran twice and no runner was overfull

    Examples:
      | queue   |
      | plain   |
      | advised |

  Scenario: Jobs by the dozen
    When 40 jobs of 3 tasks are handed in all over
    Then all of them are completed
    And no task ran twice and no runner was overfull

  Scenario Outline: What cannot be taken is refused with a reason
    When <method> <path> is asked with <body>
    Then the answer is <status>

    Examples:
      | method | path                    | body                                        | status |
      | POST   | /plain/0123456789abcdef | {"spec":"x"}                                | 400    |
      | POST   | /plain/0123456789abcdef | not json                                    | 400    |
      | POST   | /plain/0123456789abcdef | {"spec":"x","steps":[]}                     | 400    |
      | POST   | /plain/0123456789abcdef | {"spec":"x","steps":[{"count":0}]}          | 400    |
      | POST   | /plain/0123456789abcdef | {"spec":"x","steps":[{"depends_on":[0]}]}   | 400    |
      | POST   | /plain/0123456789abcdef | {"spec":"x","steps":[{"cpu":-1}]}           | 400    |
      | POST   | /plain/xyz              | {"spec":"1 1","steps":[{"count":1}]}        | 400    |
      | POST   | /nowhere/0123456789abcdef | {"spec":"1 1","steps":[{"count":1}]}      | 404    |
      | GET    | /plain/0123456789abcdef | nothing                                     | 410    |
      | DELETE | /plain/0123456789abcdef | nothing                                     | 410    |
      | GET    | /plain/                 | nothing                                     | 200    |

  # Guards against a cancelled job that runs on or comes back.
  Scenario: A job is cancelled while it runs
    When a long job is handed in and cancelled once it runs
    Then every host tells that it is cancelled
    And its task is stopped

  # Guards against starting a task again that a dead owner's runner still runs.
  Scenario: The owner is killed while a job runs
    When a long job is handed in and the owner is killed once it runs
    Then the other hosts tell that the job is completed
    And no task ran twice and no runner was overfull
    And the logs tell who accepted, started, took over, found, noted and closed it

  # Guards against a task that runs on after its owner died and its job was cancelled.
  Scenario Outline: The owner is killed between a start and its cancellation
    When the owner is killed while a long job runs on a runner whose entry <entry>
    And its client cancels the job at another host
    Then its task is stopped

    Examples:
      | entry    |
      | stays    |
      | has gone |

  # All hosts lost power right after the client was told that its job is taken.
  Scenario: All hosts are killed right after a job was taken
    When a job is handed in and all hosts are killed and started again
    Then every host tells that it is completed

  # Guards against running a job that was refused while the store was down.
  Scenario: The store is down for a while
    When the store is down while jobs are handed in
    Then each is refused with a time to come back, and none of them runs
    And the logs tell for each of them that it was refused, and what was tried
    When the platform is back
    Then a new job is completed

  # Guards against running a job twice because an append's answer was lost.
  Scenario: Answers of the store are lost
    When 20 jobs are handed in while a third of the store's answers are lost
    Then all of them are completed
    And no task ran twice and no runner was overfull

  Scenario: A runner crashes with tasks on it
    When a long job is handed in and its runner crashes
    Then every host tells that it is completed
    And no task ran twice and no runner was overfull

  # Guards against cutting off work by a planned stop.
  Scenario: The owner is stopped
    When the owner is stopped while jobs are handed in at the others
    Then all of them are completed
    And the stopped host has ended with status 0

  # Guards against losing or doubling tasks while another writer fills the runners' topic.
  Scenario: Another writer fills the runners' topic while jobs run
    When another writer fills the runners' topic while 30 jobs are handed in
    Then all of them are completed
    And no task ran twice and no runner was overfull
    And every host is alive and has counted unreadable records

  # The owner is killed meanwhile: its successor reads the same topic from a snapshot.
  Scenario: The owner is killed while another writer fills the runners' topic
    When another writer is at work, and the owner is killed once a long job runs
    Then the other hosts tell that the job is completed
    And no task ran twice and no runner was overfull

  # Guards against starting a task again whose job was shown as complete while the store was away.
  Scenario: A job ends while the store is away, and its owner and its runner are lost
    When the store goes away while a long job runs
    Then every host tells that it is completed
    When the owner and the runner are lost before the platform is back
    Then the other hosts tell that the job is completed
    And its task has run once
