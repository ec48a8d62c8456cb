Feature: An owner with a fraction of a core

  # Guards against limits that a short delay sets, or that end while the owner still is late.
  Scenario Outline: When an owner counts as late
    Given an owner whose loop <history>
    Then it counts as <state>

    Examples:
      | history                                                        | state   |
      | wakes up 0.15 s late for 9 s                                   | in time |
      | wakes up 0.3 s late for 0.6 s                                  | in time |
      | wakes up 0.3 s late for 1.5 s                                  | late    |
      | wakes up 1.2 s late for 1.3 s                                  | late    |
      | wakes up 0.3 s late for 2 s, then 0.05 s late for 1.5 s        | late    |
      | wakes up 0.3 s late for 2 s, then 0.15 s late for 9 s          | late    |
      | wakes up 0.3 s late for 2 s, then 0.05 s late for 2.5 s        | in time |

  # Guards against an owner in time that plans, starts or polls otherwise than without the limits.
  Scenario Outline: Limits of an owner
    Given an owner that is <state>
    Then it plans every <pause> s, sends <starts> starts at once and polls idle runners for <poll> s
    And it does optional work <times> times in 9 s

    Examples:
      | state   | pause | starts | poll | times |
      | in time | 0.004 | 64     | 1.5  | 90    |
      | late    | 0.15  | 12     | 2.1  | 1     |

  # Guards against starts that are rejected because the owner's knowledge is outdated.
  Scenario Outline: What a start may rely on
    Given an owner that is <state>
    When a runner answered a poll <poll> s ago and an order <order> s ago
    Then the owner <places> a task there
    And a start that was planned there before is <fate>

    Examples:
      | state   | poll | order | places         | fate     |
      | in time | 9    | 9     | places         | sent     |
      | late    | 2    | 9     | places         | sent     |
      | late    | 9    | 2     | places         | sent     |
      | late    | 2.8  | 2.8   | does not place | withheld |
      | late    | 9    | 9     | does not place | withheld |

  # Guards against a lateness that an operator cannot see or explain.
  Scenario: What is logged and measured
    Given an owner whose periodic checks are delayed and then in time
    Then it logs that it is late and that it is in time again, with the inputs
    And the metrics have the delay, the age of the oldest answer used and the starts held back

  # Guards against heartbeats that wait behind the progress of jobs until a successor claims the cell.
  Scenario Outline: A heartbeat is overdue
    Given an owner whose last heartbeat was <seconds> s ago, and that <acts>
    When it stores the progress of jobs
    Then the append contains <heartbeats> heartbeats

    Examples:
      | seconds | acts                 | heartbeats |
      | 0.5     | owns the cell        | 0          |
      | 0.7     | owns the cell        | 1          |
      | 0.7     | releases the cell    | 0          |

  # Guards against a claim from an owner that acts but answers late, or that was read late.
  Scenario Outline: A request to an owner of <cores> cores is not answered
    Given a host that is <delay> s late and heard from an owner of <cores> cores <seconds> s ago
    When a request that is forwarded to the owner is not answered
    Then the cell is <vacancy>

    Examples:
      | delay | cores | seconds | vacancy |
      | 0     | 1     | 0.6     | vacant  |
      | 0.1   | 1     | 0.6     | vacant  |
      | 0.5   | 1     | 0.9     | held    |
      | 0.5   | 1     | 1.1     | vacant  |
      | 0     | 0.1   | 0.8     | held    |
      | 0     | 0.1   | 1.0     | vacant  |

  # Guards against a longer time without an owner when the process of a small owner has ended.
  Scenario: The port of a small owner refuses connections
    Given a host that is 0 s late and heard from an owner of 0.1 cores 0.6 s ago
    When the owner's port refuses connections
    Then the cell is vacant

  # Guards against an answer that counts as missing because the loop detects the timeout first.
  Scenario: The answer of a peer arrives while the loop is blocked
    Given a peer that answers after 0.02 s
    When the loop is blocked for 0.3 s during a request with a timeout of 0.1 s
    Then the request returns the answer

  # Guards against a late owner that keeps the cell although a larger host could own it.
  Scenario Outline: A late owner and a peer with more cores
    Given an owner of 1 core that has been late for <seconds> s, and a peer of <cores> cores
    Then it <hands> the cell over to the peer

    Examples:
      | seconds | cores | hands         |
      | 4       | 2     | hands         |
      | 4       | 1.5   | does not hand |
      | 1       | 2     | does not hand |

  # Guards against a lease that outlasts the wait of a successor, as an old clock reading is less exact.
  Scenario Outline: A lease from an old reading of the runner's clock
    Given an owner that read the clock of a runner <age> s ago, which runs 2% slow
    When it grants a lease there
    Then the lease ends no later than a successor expects, and is <lease>

    Examples:
      | age | lease   |
      | 1.5 | full    |
      | 2.1 | full    |
      | 6   | shorter |

  # Guards against starts with tickets that have expired while the answer waited for the owner's loop.
  Scenario Outline: A late owner reads the answer of the policy service
    Given an owner that is <state>
    When tickets that are valid for 2 s are read
    Then they can be used for <seconds> s

    Examples:
      | state   | seconds |
      | in time | 1.85    |
      | late    | 1.55    |
