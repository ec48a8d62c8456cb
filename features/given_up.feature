Feature: What a store that was down for long did not take

  # Guards against acknowledging an end whose record was given up.
  Scenario: The record of an end is given up while another look waits for it
    Given an owner whose record of a task's end is about to be given up
    When another look at the runner waits for that record
    Then the end is not acknowledged, as the store does not have it

  # Guards against relying on a heartbeat that was given up.
  Scenario: A heartbeat that names a new runner is given up
    Given an owner whose heartbeat with a new runner is about to be given up
    When the store takes heartbeats again
    Then tasks are placed on the new runner only if the store names it
