Feature: Jobs that complete before their end is stored

  # Guards against clients that learn of completed jobs only once the store is available again.
  Scenario Outline: The store is unavailable when a job ends
    Given an owner whose store is unavailable, and a peer that <answers>
    When a runner lists the end of its job
    Then clients are told <state> within a second

    Examples:
      | answers                      | state       |
      | accepts its reports          | completed   |
      | was queried by a later owner | nothing yet |
      | does not answer              | nothing yet |

  # Telling peers of every job that ends would cost two messages a job while the store is healthy.
  Scenario: The store accepts the ends of jobs
    Given an owner whose store answers, and a peer that accepts its reports
    When a runner lists the end of its job
    Then no message is sent to the peer

  # Guards against starting a task again after a client was told that its job is complete.
  Scenario Outline: The owner and the runner fail after a job was shown as complete
    Given a store in which a job runs on w1
    And a peer that was told that the job is complete and that <answers>
    When a host that was not told owns the cell and w1 has crashed
    Then the job's task is <outcome>

    Examples:
      | answers     | outcome           |
      | replies     | not started again |
      | has crashed | started again     |

  # Guards against showing a job as complete that a former owner reports after a later owner's query.
  Scenario: A former owner's report after a later owner's query
    Given a host that the owner of epoch 7 has queried
    When the owner of epoch 6 tells it that a job is complete
    Then its report is refused, and clients are not told
    When the owner of epoch 7 tells it that a job is complete
    Then clients are told that it is completed

  Scenario: A store that is unavailable for an hour
    Given a host that is told of 30000 complete jobs over an hour
    Then it keeps those of the last minute, and at most 20000
