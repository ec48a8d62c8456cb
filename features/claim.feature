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

  # An owner's host lost power, or was cut off. Nothing refused a connection, so peers missed
  # it by its heartbeats alone after 1.3 s, and urgent jobs of 3 s were late by then. Peers
  # whose questions are not answered know sooner; a busy owner's heartbeats go on.
  Scenario Outline: The owner answers no peer
    Given a host that has heard the owner <seconds> s ago
    When a request to be passed on to the owner is not answered
    Then the cell is <vacancy>

    Examples:
      | seconds | vacancy |
      | 0.1     | held    |
      | 0.4     | held    |
      | 0.6     | vacant  |

  # On a slow store heartbeats come every 0.8 s. An owner that misses a question there between
  # two of them is not gone.
  Scenario Outline: The owner's heartbeats come late by habit
    Given a host that hears the owner every <gap> s, the last time <seconds> s ago
    When a request to be passed on to the owner is not answered
    Then the cell is <vacancy>

    Examples:
      | gap | seconds | vacancy |
      | 0.8 | 0.9     | held    |
      | 0.8 | 1.1     | vacant  |
      | 0.2 | 0.6     | vacant  |
