Feature: What a successor may rely on

  # Guards against too short a wait for an owner that a new host only knows from the store.
  Scenario: A host that has just started succeeds a partitioned owner
    Given a host that starts after the owner's last heartbeat
    When it owns the cell
    Then it does not restart tasks of unseen runners until all leases of that owner have expired

  # Guards against forgetting a runner that only an earlier owner could reach.
  Scenario: The second successor of a partitioned owner
    Given a successor that waits for the runner w9, whose entry it has never seen
    When the successor stores the runners on which tasks may run
    Then w9 is among them

  # Guards against starting or renewing after the release was sent.
  Scenario: An owner that releases the cell starts nothing more
    Given an owner whose release is answered late
    When it releases the cell
    Then it may not act while the release is pending

  # Guards against reading the late record of an earlier incarnation as that of a later one.
  Scenario Outline: A record of another incarnation on the owner's host
    Given an owner incarnation that first read the store at offset 50
    When a member record arrives of an incarnation on its host that first read it at offset <offset>
    Then the owner is considered <state>

    Examples:
      | offset | state |
      | 40     | alive |
      | 50     | alive |
      | 90     | ended |

  # Guards against an older record of a job overwriting a newer one.
  Scenario Outline: A job's progress changes while one of its starts is being stored
    Given an owner that is about to store the runner of a job's second task
    When the first task ends meanwhile, with outcome <outcome>
    Then the store says that the job is <state> with <done> tasks done
    And the store names the runner of the second task

    Examples:
      | outcome | state   | done |
      | done    | running | 1    |
      | failed  | failed  | 0    |

  # Guards against a step that waits for a runner on which only steps that are done have run.
  Scenario Outline: A runner that only an earlier step may have used
    Given an owner whose job has run on w1, <where>
    When its successor does not reach w1
    Then the second step of the job <fate>

    Examples:
      | where                                               | fate      |
      | where its first step is done                        | can start |
      | where one of two tasks of its first step still runs | waits     |
      | and whose second step has started there             | waits     |
      | where its second step may have started              | waits     |
      | where a start is decided while the end is stored    | waits     |
      | where an earlier record is answered after the end   | waits     |
      | and this owner has not reached w1 either            | waits     |

  # Guards against a run on a runner that is not stored by name, and that no successor waits for.
  Scenario: A step of a job that may run on any runner is done
    Given an owner whose job has run on any runner, and its second step runs on w1
    When its successor does not reach w1
    Then the second step of the job waits
