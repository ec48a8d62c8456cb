Feature: Runners whose room changes while they run

  # Guards against overfilling a runner whose room shrinks between a decision and its start.
  Scenario Outline: A runner's room changes between a decision and its start
    Given a cell with the runners w1
    And a task of 20000 is decided to start on w1
    When w1 says that it has <room>
    Then what was decided <outcome>

    Examples:
      | room  | outcome      |
      | 32000 | is sent      |
      | 20000 | is sent      |
      | 16000 | is not sent  |
      | 0     | is not sent  |

  # Two starts wait for the store as their runner's room shrinks to that of one of them.
  Scenario: One of two starts still fits
    Given a cell with the runners w1
    And a task of 14000 is decided to start on w1
    And a task of 14000 is decided to start on w1
    When w1 says that it has 16000
    Then one of the two is sent and the other one starts elsewhere later

  Scenario Outline: What runs over a room that has shrunk
    Given a cell with the runners w1
    And a task of 20000 runs on w1
    When w1 says that it has <room>
    Then the task goes on, and a task of 4000 <outcome>

    Examples:
      | room  | outcome        |
      | 16000 | does not start |
      | 23999 | does not start |
      | 24000 | starts on w1   |
      | 32000 | starts on w1   |

  Scenario: Room that grows again
    Given a cell with the runners w1
    And a task of 20000 runs on w1
    When w1 says that it has 16000
    And w1 says that it has 24000
    Then the task goes on, and a task of 4000 starts on w1

  # A gang had runners reserved that then shrank: it waited for seats that could not come.
  Scenario: Reserved runners shrink
    Given a cell with the runners w1, w2, w3
    And a gang of 2 tasks of 30000 for which w1 and w2 are reserved
    When w1 says that it has 16000
    Then the gang starts on w2 and w3 once they are free

  # A successor finds more on a runner than the runner now says that it has.
  Scenario: A successor finds a runner over its room
    Given a successor that finds a task of 20000 on w1, which says that it has 16000
    Then the task goes on, and a task of 4000 does not start

  # Guards against starting by an old list of runners where the store answers appends only.
  Scenario Outline: The list of runners is old
    Given an owner whose list of runners is <age> seconds old
    Then it <outcome>

    Examples:
      | age | outcome                |
      | 0.3 | may start tasks        |
      | 2.4 | may start tasks        |
      | 2.6 | may not, and says so   |

  # Guards against a runner over its room that hides what others have free.
  Scenario: A runner over its room does not hide what others have free
    Given a cell with the runners w1, w2 whose queue needs advice
    And w1 has 0 and is found with a task of 32000
    When a task of 4000 needs advice
    Then advice is asked for it about w2

  # Guards against a gang that asks about all runners because the first one has shrunk.
  Scenario: One runner that has shrunk does not stand for all
    Given a cell with 24 runners whose queue needs advice, of which the first has no room
    When a gang of 4 tasks of 8000 needs advice
    Then advice is asked for it about fewer than 24 runners
