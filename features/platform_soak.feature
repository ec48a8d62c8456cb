Feature: Random faults on entry hosts, overlapping

  # Guards against promises that do not hold under overlapping faults.
  Scenario Outline: A short run
    When faults of seed <seed> strike the entry hosts for <seconds> seconds
    Then every promise was kept

    Examples:
      | seed | seconds |
      | 11   | 6       |
      | 1    | 12      |
