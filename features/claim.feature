Feature: From when a new owner counts its right to act

  # Guards against an owner that counts its authority from later than its peers do.
  Scenario: The answer to a claim is late
    Given a store that answers a claim 0.7 s after it has carried it out
    When a host claims the cell there and is cut off at once
    Then its last leases are over when a successor gives them up

  # Guards against claiming the cell from an owner whose port a partition refuses.
  Scenario Outline: The owner's port refuses connections
    Given a host that has heard the owner <seconds> s ago
    When the owner's port refuses connections
    Then the cell is <vacancy>

    Examples:
      | seconds | vacancy |
      | 0.1     | held    |
      | 0.4     | held    |
      | 0.6     | vacant  |

  # Guards against missing an owner for long that answers no peer.
  Scenario Outline: The owner answers no peer
    Given a host that has heard the owner <seconds> s ago
    When a request to be passed on to the owner is not answered
    Then the cell is <vacancy>

    Examples:
      | seconds | vacancy |
      | 0.1     | held    |
      | 0.4     | held    |
      | 0.6     | vacant  |

  # Guards against taking an owner for gone on a store that delays its heartbeats.
  Scenario Outline: The owner's heartbeats come late by habit
    Given a host that hears the owner every <gap> s, the last time <seconds> s ago
    When a request to be passed on to the owner is not answered
    Then the cell is <vacancy>

    Examples:
      | gap | seconds | vacancy |
      | 0.8 | 0.9     | held    |
      | 0.8 | 1.1     | vacant  |
      | 0.2 | 0.6     | vacant  |
