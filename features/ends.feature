Feature: More ends of runs than one poll lists

  # Guards against treating a run as lost while its end is not yet listed.
  Scenario: The end of a task comes after the 500 ends that a poll lists
    Given a task that is done on w1, its end listed after 500 others
    When w1 lists its first 500 ends
    Then the task is not started again

  Scenario: The first poll of a successor lists only the first 500 ends
    Given a successor that waits for w1 before it starts the tasks of a job
    When w1 lists its first 500 ends
    Then the task is not started again

  Scenario: Number of ends that a complete answer may list
    Then an answer with 499 ends counts as complete
    And an answer with 500 ends counts as truncated
