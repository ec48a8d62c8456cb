Feature: Records whose appends were abandoned during a long store outage

  # Guards against acknowledging the end of a run to its runner although its record is not stored.
  Scenario: The append of a task's end is abandoned while another poll waits for it
    Given an owner whose append of a task's end is about to be abandoned
    When another poll of the runner waits for that record
    Then the end is not acknowledged, as the store does not have it

  # Guards against relying on a heartbeat record whose append was abandoned.
  Scenario: The append of a heartbeat that names a new runner is abandoned
    Given an owner whose append of a heartbeat with a new runner is about to be abandoned
    When the store accepts heartbeats again
    Then tasks are placed on the new runner only if the store lists it
