Feature: What a successor relies on

  # Guards against waiting too short for an owner of which a fresh host has only read.
  Scenario: A host that has just started follows an owner that was cut off
    Given a host that starts after the owner's last heartbeat
    When it owns the cell
    Then it leaves tasks on unseen runners alone until all leases of that owner are over

  # Guards against forgetting a runner that only an earlier owner reached.
  Scenario: The second successor of an owner that was cut off
    Given a successor that waits for the runner w9, whose entry it has never seen
    When the successor stores on which runners tasks may run
    Then w9 is among them

  # Guards against starting or renewing after the release was sent.
  Scenario: An owner that releases the cell starts nothing more
    Given an owner whose release is answered late
    When it releases the cell
    Then it has no right to act while the release is on its way

  # Guards against taking an earlier incarnation's late record for a later one.
  Scenario Outline: Word of another life on the owner's host
    Given an owner whose life first read the store at offset 50
    When word lands of a life on its host that first read it at offset <offset>
    Then the owner is taken <as>

    Examples:
      | offset | as         |
      | 40     | for living |
      | 50     | for living |
      | 90     | for over   |

  # Guards against an older record of a job that is stored after a newer one.
  Scenario Outline: A job's progress is noted while a start of it is being stored
    Given an owner that is about to store the runner of a job's second task
    When the first task ends <outcome> right then
    Then the store says that the job is <state> with <done> tasks done
    And the store names the runner of the second task

    Examples:
      | outcome | state   | done |
      | done    | running | 1    |
      | failed  | failed  | 0    |
