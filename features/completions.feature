Feature: Jobs that are complete before the store knows it

  # Guards against callers that learn of complete jobs only once the store is back.
  Scenario Outline: The store is away when a job ends
    Given an owner whose store is away, and a peer that <answers>
    When a runner lists the end of its job
    Then clients are told <state> within a second

    Examples:
      | answers                      | state        |
      | takes its word               | completed    |
      | has been asked by a later owner | nothing yet |
      | does not answer              | nothing yet  |

  # Peers of every job that ends would be two messages a job in calm seconds.
  Scenario: The store takes ends as usual
    Given an owner whose store answers, and a peer that takes its word
    When a runner lists the end of its job
    Then the peer is told nothing

  # Guards against starting a task again after a client was told that its job is complete.
  Scenario Outline: The owner and the runner are lost after a job was shown as complete
    Given a store that says that a job runs on w1
    And a peer that was told that the job is complete and <answers>
    When a host that was not told owns the cell and w1 has crashed
    Then the job's task is <outcome>

    Examples:
      | answers            | outcome           |
      | says so            | not started again |
      | has ended          | started again     |

  # Guards against showing a job by a former owner's word after a later owner has asked.
  Scenario: A former owner's word after a later owner has asked
    Given a host that the owner of epoch 7 has asked
    When the owner of epoch 6 tells it that a job is complete
    Then its word is refused, and clients are not told
    When the owner of epoch 7 tells it that a job is complete
    Then clients are told that it is completed

  Scenario: A store that is away for an hour
    Given a host that is told of 30000 complete jobs over an hour
    Then it remembers those of the last minute, and 20000 at the most
