Feature: Records that were given up during a long store outage

  # Guards against acknowledging the end of a run to its runner although its record was given up.
  Scenario: The record of an end is given up while another poll waits for it
    Given an owner whose record of a task's end is about to be given up
    When another poll of the runner waits for that record
    Then the end is not acknowledged, as the store does not have it

  # Guards against relying on a heartbeat record that was given up.
  Scenario: A heartbeat that names a new runner is given up
    Given an owner whose heartbeat with a new runner is about to be given up
    When the store accepts heartbeats again
    Then tasks are placed on the new runner only if the store lists it
