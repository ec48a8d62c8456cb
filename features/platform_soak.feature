Feature: Overlapping random faults on entry hosts

  # Guards against violations of guarantees under overlapping faults.
  Scenario Outline: A short soak
    When random faults with seed <seed> are injected into the entry hosts for <seconds> seconds
    Then no guarantee was violated

    Examples:
      | seed | seconds |
      | 11   | 6       |
      | 1    | 12      |
