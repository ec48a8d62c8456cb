Feature: When the authority of an owner begins, and when its cell counts as vacant

  # Guards against an owner that dates the beginning of its authority later than its peers do.
  Scenario: The answer to a claim is late
    Given a store that answers a claim 0.7 s after applying it
    When a host claims the cell and is partitioned from the store at once
    Then its last leases have expired when a successor stops waiting for them

  # Guards against claiming the cell from an owner whose port a partition refuses.
  Scenario Outline: The owner's port refuses connections
    Given a host that heard from the owner <seconds> s ago
    When the owner's port refuses connections
    Then the cell is <vacancy>

    Examples:
      | seconds | vacancy |
      | 0.1     | held    |
      | 0.4     | held    |
      | 0.6     | vacant  |

  # Guards against a long delay before an owner that answers no peer is replaced.
  Scenario Outline: The owner answers no peer
    Given a host that heard from the owner <seconds> s ago
    When a request that is forwarded to the owner is not answered
    Then the cell is <vacancy>

    Examples:
      | seconds | vacancy |
      | 0.1     | held    |
      | 0.4     | held    |
      | 0.6     | vacant  |

  # Guards against replacing a live owner because the store delays its heartbeats.
  Scenario Outline: The owner's heartbeats usually arrive late
    Given a host that hears from the owner every <gap> s, the last time <seconds> s ago
    When a request that is forwarded to the owner is not answered
    Then the cell is <vacancy>

    Examples:
      | gap | seconds | vacancy |
      | 0.8 | 0.9     | held    |
      | 0.8 | 1.1     | vacant  |
      | 0.2 | 0.6     | vacant  |
