Feature: Random faults on entry hosts, overlapping

  # A short run of `make platform-soak`: hosts are killed, paused and stopped, links
  # are cut one way or both, the store is down, slow or loses answers, runners crash
  # and come back, while jobs go on. The seed draws the faults; the runners' own
  # records and the clients' answers judge.
  Scenario: A short run
    When faults of seed 11 strike the entry hosts for 6 seconds
    Then every promise was kept
