Feature: Shares of an account's quota when it does not suffice

  # Guards against quota that stays unused, or a gang that is delayed, while an account waits for it.
  Scenario Outline: Urgent tasks arrive while their account waits for a gang
    Given the account blue with a quota of 12 cores, and 32 cores free
    And overload control is <control>
    And a long-running task of blue of <lasting> cores and a short one of <older> cores run
    When a gang of blue of 4 tasks of 2 cores has waited for its quota for 21 s
    And blue submits 6 urgent tasks of 1 core
    Then <starting> of them start
    And the gang starts as soon as the short task ends, with at most 12 cores in use

    Examples:
      | control | lasting | older | starting |
      | off     | 0       | 8     | 0        |
      | on      | 0       | 8     | 4        |
      | on      | 0       | 6     | 4        |
      | on      | 0       | 11    | 1        |
      | on      | 3       | 6     | 1        |

  # Guards against operators who cannot see that an account waits for a gang, and what still starts.
  Scenario: An account waits for a gang in sight of the operator
    Given the account blue with a quota of 12 cores, and 32 cores free
    And overload control is on
    And a long-running task of blue of 0 cores and a short one of 8 cores run
    When a gang of blue of 4 tasks of 2 cores has waited for its quota for 21 s
    And blue submits 6 urgent tasks of 1 core
    Then one log line names the gang, with 8 of 12 cores in use
    And the metrics count 4 starts of blue beside a gang

  # Guards against an order that serves narrow jobs before wide ones of the same queue.
  Scenario: Wide and narrow jobs of a queue compete for a full cell
    Given the account blue with a quota of 100 cores, and 8 cores free
    And overload control is on
    When blue submits wide and narrow jobs of one queue in turn, and the cell is full
    Then they start in the order of their submission
