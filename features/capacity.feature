Feature: Runners whose capacity changes at run time

  # Guards against overcommitting a runner whose capacity shrinks between a decision and its start.
  Scenario Outline: A runner's capacity changes between a decision and its start
    Given a cell with the runners w1
    And a task of 20000 millicores is decided to start on w1
    When w1 reports a capacity of <capacity> millicores
    Then the decided start <outcome>

    Examples:
      | capacity | outcome     |
      | 32000    | is sent     |
      | 20000    | is sent     |
      | 16000    | is not sent |
      | 0        | is not sent |

  # Two starts wait for the store while their runner's capacity shrinks to that of one of them.
  Scenario: One of two starts still fits
    Given a cell with the runners w1
    And a task of 14000 millicores is decided to start on w1
    And a task of 14000 millicores is decided to start on w1
    When w1 reports a capacity of 16000 millicores
    Then one of the two is sent and the other one starts elsewhere later

  Scenario Outline: A task keeps running after the capacity has shrunk below its demand
    Given a cell with the runners w1
    And a task of 20000 millicores runs on w1
    When w1 reports a capacity of <capacity> millicores
    Then the task keeps running, and a task of 4000 millicores <outcome>

    Examples:
      | capacity | outcome        |
      | 16000    | does not start |
      | 23999    | does not start |
      | 24000    | starts on w1   |
      | 32000    | starts on w1   |

  Scenario: Capacity that grows again
    Given a cell with the runners w1
    And a task of 20000 millicores runs on w1
    When w1 reports a capacity of 16000 millicores
    And w1 reports a capacity of 24000 millicores
    Then the task keeps running, and a task of 4000 millicores starts on w1

  # Guards against a gang that waits forever for reserved runners whose capacity has shrunk.
  Scenario: Reserved runners shrink
    Given a cell with the runners w1, w2, w3
    And a gang of 2 tasks of 30000 millicores for which w1 and w2 are reserved
    When w1 reports a capacity of 16000 millicores
    Then the gang starts on w2 and w3 once they are free

  # The tasks that a successor finds on a runner may exceed the capacity that the runner reports.
  Scenario: A successor finds an overcommitted runner
    Given a successor that finds a task of 20000 millicores on w1 with a capacity of 16000
    Then the task keeps running, and a task of 4000 millicores does not start

  # Guards against starting tasks by a stale list of runners while the store answers only appends.
  Scenario Outline: The list of runners is stale
    Given an owner whose list of runners is <age> seconds old
    Then it <outcome>

    Examples:
      | age | outcome                          |
      | 0.3 | may start tasks                  |
      | 2.4 | may start tasks                  |
      | 2.6 | may not start tasks, and logs it |

  # Guards against counting the negative free capacity of one runner against that of others.
  Scenario: An overcommitted runner does not reduce the free capacity of others
    Given a cell with the runners w1, w2 whose queue needs advice
    And w1 has a capacity of 0 millicores and already runs a task of 32000 millicores
    When a task of 4000 millicores needs advice
    Then advice about w2 is requested for it

  # Guards against a gang that requests advice on all runners because the first one has shrunk.
  Scenario: A runner without capacity does not make a gang ask about all runners
    Given a cell with 24 runners whose queue needs advice, of which the first has no capacity
    When a gang of 4 tasks of 8000 millicores needs advice
    Then advice about fewer than 24 runners is requested for it
