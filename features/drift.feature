Feature: The last lease on a runner with a slow clock

  # An owner that was cut off started a task on a runner whose clock is 2% slow, 2 s after
  # the runner had last told its clock. The lease is a time on that clock, which the owner
  # took to be 42 ms further on. It ended 5.15 s later; successors wait for 5.1 s.
  Scenario: A lease granted with a reading of the clock that is 2.1 s old
    Given a runner whose clock is 2% slow, and told 2.1 s ago
    When a lease is granted there and the owner releases the cell right then
    Then its successor does not give it up before it has run out
