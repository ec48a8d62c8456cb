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
      | removes the queue                            | a host without any configuration owns  | 2 runs | not failed  |
      | removes the queue                            | a host without any configuration owns  | 3 runs | failed      |

  # Guards against starts without a ticket, which runners reject, and against jobs that wait for good.
  Scenario Outline: Tasks wait while their queue, which needs advice, is away
    Given a job of a queue that needs advice, whose task waits
    When a version <change>, and <owner>
    Then <outcome>

    Examples:
      | change            | owner                              | outcome                                    |
      | removes the queue | the owner stays                    | advice is requested and no task is started |
      | keeps the queue   | the owner stays                    | advice is requested and no task is started |
      | removes the queue | a host that has never read it owns | advice is requested and no task is started |

  # Guards against a submission whose terms keep an owner from planning.
  Scenario Outline: A submission with terms of another writer
    Given a job of a removed queue, whose submission has the terms <terms>
    Then it is planned with <attempts> attempts, an objective of <objective> s and priority <priority>

    Examples:
      | terms                    | attempts | objective | priority |
      | [1, 3, 2.0, 0.25]        | 3        | 1.25      | 1        |
      | [-7, 0, -2.0, -5]        | 1        | 0         | 0        |
      | [1, 3, 1e300, 1e300]     | 3        | 1.5e9     | 1        |
      | none                     | 1        | 0.5       | 0        |

  Scenario: Versions that remove many queues
    Given 20 versions that each replace 1000 queues by others
    Then the newest one knows its own queues, and the 5000 that were removed last
