Feature: Entries at one address

  # A runner crashed and came up again at its address under a new id, 1 s later; the entry
  # of its former life was still listed, as it is for three heartbeats or longer. Right then
  # the owner was cut off with it. The successor took the new life for replaced by the
  # old one, did not wait for it, and started its tasks again at once.
  Scenario: The entry of a runner's former life is still listed
    Given runner w9 at the address of w8, whose entry has not expired yet
    When a host follows an owner that had a job on w9
    Then that job is left alone until w9 has been seen

  # A task ran twice at once. Its runner had come up where another one had crashed, and
  # was then cut off with its zone, so its own entry expired. Right then a last heartbeat
  # of the crashed runner landed, held up by an earlier cut. The owner took the runner at
  # work for replaced, 1.4 s before its leases were over:
  #   18.297 s to 23.557 s  run 1001, lapsed
  #   22.131 s to 27.398 s  run 1002, done
  Scenario: A heartbeat of a runner's former life lands late
    Given an owner with a task on w9, which it cannot reach
    When the entry of w9 expires, and one of w8 lands at its address
    Then the task still counts on w9

  # The entry of a runner that was known to have ended stayed listed for some seconds. The
  # owner took it for new, looked at it, was told that another runner answers there, and
  # took it for new again, ten times a second.
  Scenario: A runner that has ended stays ended while its entry is listed
    Given an owner with a task on w9, which it cannot reach
    When another runner answers at the address of w9
    Then w9 is not taken for a new runner
