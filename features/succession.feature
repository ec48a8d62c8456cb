Feature: What a successor relies on

  # A settlement was paid twice. Its owner was cut off, and went on renewing the leases of
  # a runner that nobody else reached, where the task was soon done. A host that had started
  # in the meantime owned the cell next. It had read who the owner was, but had not lived to
  # hear a heartbeat, so it took the owner to have been silent for ever: it left the task
  # alone for one lease, 5.1 s, in place of 14.1 s. The runners' record shows both runs:
  #   31.968 s to 33.810 s  run 4001, started by d-2: done
  #   39.561 s to 40.649 s  run 5001, started by c-2: stopped
  Scenario: A host that has just started follows an owner that was cut off
    Given a host that starts after the owner's last heartbeat
    When it owns the cell
    Then it leaves tasks on unseen runners alone until all leases of that owner are over

  # The successor of that owner is killed in turn. One runner's entry had expired in the
  # cut, so the successor, which had just started, never knew its address and did not
  # name it among the runners on which tasks may run. The next owner found no reason to
  # wait for it, and started its tasks again while the first owner renewed their leases.
  Scenario: The second successor of an owner that was cut off
    Given a successor that waits for the runner w9, whose entry it has never seen
    When the successor stores on which runners tasks may run
    Then w9 is among them

  # A zone was cut off just as its owner released the cell. The release was stored, its
  # answer was late, and for 1 s the owner went on starting tasks and renewing leases.
  # The successor waited for the leases that were granted before the release.
  Scenario: An owner that releases the cell starts nothing more
    Given an owner whose release is answered late
    When it releases the cell
    Then it has no right to act while the release is on its way

  # A host was killed twice within seconds while the store lost answers, and owned the cell
  # in its third life. The word of its first life, which had no answer, landed only then.
  # All others took the third life for over, claimed the cell from a living owner, and
  # waited for one lease of it where it might renew for 9 s.
  Scenario Outline: Word of another life on the owner's host
    Given an owner whose life first read the store at offset 50
    When word lands of a life on its host that first read it at offset <offset>
    Then the owner is taken <as>

    Examples:
      | offset | as         |
      | 40     | for living |
      | 50     | for living |
      | 90     | for over   |

  # A job was accepted and running; then no host knew it any more (410). Another time a
  # task that was done, and whose end had been acknowledged, was started again by the next
  # owner. While a job's runners were on their way to the store, another task noted the
  # job's progress and was first in the queue: the older record landed last, and stayed.
  Scenario Outline: A job's progress is noted while a start of it is being stored
    Given an owner that is about to store the runner of a job's second task
    When the first task ends <outcome> right then
    Then the store says that the job is <state> with <done> tasks done
    And the store names the runner of the second task

    Examples:
      | outcome | state   | done |
      | done    | running | 1    |
      | failed  | failed  | 0    |
