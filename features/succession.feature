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
