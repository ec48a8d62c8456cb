Feature: Overlapping random faults on entry hosts

  # Guards against violations of guarantees under overlapping faults.
  Scenario Outline: A short soak
    When random faults with seed <seed> are injected into the entry hosts for <seconds> seconds
    Then no guarantee was violated

    Examples:
      | seed | seconds |
      | 11   | 6       |
      | 1    | 12      |

  # Guards against requests that are cut by planned stops in series.
  Scenario: A short soak of planned stops
    When planned stops with seed 5 are made in series for 12 seconds
    Then no guarantee was violated
    And requests were answered at hosts that were told to stop
