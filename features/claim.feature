Feature: From when a new owner counts its right to act

  # A slow store carried a claim out at once and answered 0.7 s later. The new owner counted
  # its 9 s of authority from when it began to work; all others counted from when the claim
  # stood in the log. Cut off right then, it could renew leases for longer than its
  # successor waited, which started a task again that still ran.
  Scenario: The answer to a claim is late
    Given a store that answers a claim 0.7 s after it has carried it out
    When a host claims the cell there and is cut off at once
    Then its last leases are over when a successor gives them up

  # A zone was cut off by refusals, and still reached the store. Its hosts took the owner's
  # refusing port for a dead process and claimed the cell, though heartbeats went on; the
  # other zones claimed it back. Four owners in five seconds started nothing.
  Scenario Outline: The owner's port refuses connections
    Given a host that has heard the owner <seconds> s ago
    When the owner's port refuses connections
    Then the cell is <vacancy>

    Examples:
      | seconds | vacancy |
      | 0.1     | held    |
      | 0.4     | held    |
      | 0.6     | vacant  |
