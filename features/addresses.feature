Feature: Entries at one address

  # Guards against taking a runner for replaced by a former incarnation whose entry is still listed.
  Scenario: The entry of a runner's former life is still listed
    Given runner w9 at the address of w8, whose entry has not expired yet
    When a host follows an owner that had a job on w9
    Then that job is left alone until w9 has been seen

  # Guards against taking a runner for replaced when a crashed one's last heartbeat lands late.
  Scenario: A heartbeat of a runner's former life lands late
    Given an owner with a task on w9, which it cannot reach
    When the entry of w9 expires, and one of w8 lands at its address
    Then the task still counts on w9

  # Guards against polling a runner that has ended again and again while its entry is listed.
  Scenario: A runner that has ended stays ended while its entry is listed
    Given an owner with a task on w9, which it cannot reach
    When another runner answers at the address of w9
    Then w9 is not taken for a new runner
