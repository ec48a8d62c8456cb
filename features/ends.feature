Feature: More ends than one look lists

  # Guards against taking a run for gone whose end is not listed yet.
  Scenario: The end of a task is behind the 500 that a look lists
    Given a task on w1 that is done there, its end behind 500 others
    When w1 lists its first 500 ends
    Then the task is not started again

  Scenario: A successor's first look lists only the first 500 ends
    Given a successor that waits for w1 with the tasks of a job
    When w1 lists its first 500 ends
    Then the task is not started again

  Scenario: How many ends an answer may hold
    Then an answer with 499 ends counts as complete
    And an answer with 500 ends counts as cut
