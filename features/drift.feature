Feature: The last lease on a runner with a slow clock

  # Guards against a lease that outlasts the successor's wait because the runner's clock is slow.
  Scenario: A lease granted with a reading of the clock that is 2.1 s old
    Given a runner whose clock is 2% slow and was last read 2.1 s ago
    When a lease is granted there and the owner releases the cell at once
    Then its successor waits until the lease has expired
