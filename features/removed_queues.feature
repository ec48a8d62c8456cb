Feature: Jobs whose queue a new configuration removes

  # Guards against a job that fails for good after one failed run, as its queue is away at that time.
  Scenario Outline: A run fails while the queue of its job is away
    Given a job of a queue with 3 attempts, of which a task runs
    When a version <change>, and <owner>
    And <runs> of the task fail one after the other
    Then by the attempts of its queue it is <state>

    Examples:
      | change                                       | owner                                  | runs   | state       |
      | removes the queue                            | the owner stays                        | 1 run  | not failed  |
      | removes the queue                            | the owner stays                        | 2 runs | not failed  |
      | removes the queue                            | the owner stays                        | 3 runs | failed      |
      | replaces the queue by one of another name    | the owner stays                        | 2 runs | not failed  |
      | removes the queue and the next one others    | the owner stays                        | 2 runs | not failed  |
      | changes the queue to one attempt             | the owner stays                        | 1 run  | failed      |
      | removes the queue                            | a host that has never read it owns     | 2 runs | not failed  |
      | removes the queue                            | a host that has never read it owns     | 3 runs | failed      |

  # Guards against starts without a ticket, which runners reject, and against jobs that wait for good.
  Scenario Outline: Tasks wait while their queue, which needs advice, is away
    Given a job of a queue that needs advice, whose task waits
    When a version <change>, and the owner stays
    Then <outcome>

    Examples:
      | change                   | outcome                                      |
      | removes the queue        | advice is requested and no task is started   |
      | keeps the queue          | advice is requested and no task is started   |

  Scenario: Versions that remove many queues
    Given 20 versions that each replace 1000 queues by others
    Then the newest one knows its own queues, and the 5000 that were removed last
