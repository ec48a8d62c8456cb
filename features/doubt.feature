Feature: A start with an unknown outcome

  # Guards against reading a refusal as the answer to an earlier attempt that may yet be carried out.
  Scenario Outline: An unanswered start is retried, and the retry is refused
    Given a start that got no answer
    When its second attempt is refused as <reply>
    Then the task is not started elsewhere until a stop has ruled out the first attempt

    Examples:
      | reply     |
      | unhealthy |
      | no_room   |

  # Guards against a job that runs although its client was told that no such job exists.
  Scenario Outline: A submission that got no answer is cancelled before it is stored
    Given two hosts and a store that leaves the submission at <first> without an answer
    When its client cancels the job at <second>, and then <event>
    Then the cancellation is answered <answer>, and all hosts show the job as cancelled
    And the owner has started nothing of it

    Examples:
      | first           | second          | event                                       | answer |
      | the other host  | the other host  | the submission is stored                    | 410    |
      | the other host  | the owner       | the submission is stored                    | 410    |
      | the other host  | the owner       | the submission is stored under a new owner  | 410    |
      | the other host  | the owner       | its client submits it again                 | 410    |
      | the owner       | the other host  | the submission is stored                    | 410    |

  # Guards against a client that takes a job for unknown and submits its work again.
  Scenario Outline: The state of a submission that got no answer
    Given two hosts and a store that leaves the submission at <first> without an answer
    When its client asks for the state at <second>
    Then it is told that this is not known yet

    Examples:
      | first          | second         |
      | the other host | the other host |
      | the owner      | the owner      |

  # Guards against cancelling the job of another client account by its id.
  Scenario: A cancellation that was stored before a submission of another account
    Given a stored cancellation by the account red of a job that is not known
    When the account blue submits a job with its id
    Then the job is not cancelled

  # Guards against a store that grows with each cancellation of an id that nobody has used.
  Scenario: Cancellations that meet no job are bounded and deleted
    Given a cell with 10000 cancellations of unknown jobs
    When a client cancels one more unknown job
    Then it is told to retry later
    And the owner deletes all of them after 60 s, but none before
