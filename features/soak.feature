Feature: Short soak runs with overlapping random faults

  # Guards against violations of the guarantees under random faults.
  Scenario Outline: A short run with seed <seed>
    When random faults with seed <seed> are injected for 10 seconds
    Then no guarantee was violated in the run

    Examples:
      | seed |
      | 11   |
      | 12   |
