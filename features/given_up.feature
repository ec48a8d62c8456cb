Feature: What a store that was down for long did not take

  # A task ran twice. The store was down for 3 s, took one append, and was down for 6 s more.
  # The record with the task's end was given up after its 9 s; an acknowledgement that only
  # waited for what was queued before had nothing to append and counted as stored. The
  # runner forgot the end, the owner was killed, and its successor started the task again.
  Scenario: The record of an end is given up while another look waits for it
    Given an owner whose record of a task's end is about to be given up
    When another look at the runner waits for that record
    Then the end is not acknowledged, as the store does not have it

  # The same outage, with the owner's heartbeat in place of the end: it was given up, and the
  # runners that it named counted as stored for good. The next owner did not wait for them.
  Scenario: A heartbeat that names a new runner is given up
    Given an owner whose heartbeat with a new runner is about to be given up
    When the store takes heartbeats again
    Then tasks are placed on the new runner only if the store names it
