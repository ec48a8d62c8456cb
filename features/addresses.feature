Feature: Entries of several runner incarnations at one address

  # Guards against treating a runner as replaced by an earlier incarnation that is still listed.
  Scenario: The entry of an earlier incarnation of a runner is still listed
    Given runner w9 at the address of w8, whose entry has not expired yet
    When a host succeeds an owner that had a job on w9
    Then that job is blocked until w9 has been polled

  # Guards against treating a runner as replaced because a crashed one's last heartbeat is late.
  Scenario: A heartbeat of an earlier incarnation of a runner arrives late
    Given an owner with a task on w9, which is unreachable
    When the entry of w9 expires, and a late heartbeat of w8 arrives from its address
    Then the task still counts as running on w9

  # Guards against polling an ended runner repeatedly while its entry is listed.
  Scenario: A runner that has ended stays ended while its entry is listed
    Given an owner with a task on w9, which is unreachable
    When another runner answers at the address of w9
    Then w9 is not added as a new runner
