Feature: The last lease on a runner with a slow clock

  # Guards against a lease that outlives its successor's wait on a slow clock.
  Scenario: A lease granted with a reading of the clock that is 2.1 s old
    Given a runner whose clock is 2% slow, and told 2.1 s ago
    When a lease is granted there and the owner releases the cell right then
    Then its successor does not give it up before it has run out
