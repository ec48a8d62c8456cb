Feature: What a release leaves out

  # A zone was cut off with its owner, which went on renewing leases there. Its successor,
  # which waited for those leases, was rolled 2 s later and released the cell. The owner
  # after it waited for one lease of the successor (5.1 s) and started tasks again that
  # the first owner still renewed: the release says nothing of what is still unsettled.
  Scenario: A successor that still waits for a cut-off owner releases the cell
    Given a successor that waits for the leases of an owner that was cut off
    When it releases the cell to a third owner
    Then the third owner waits no less than the successor would have

  # The store was slow. An owner released the cell, and its heartbeat, due while the
  # release was on its way, landed behind it: the cell looked held until it was silent
  # for 0.9 s, and the next owner waited 14.1 s for leases where 5.1 s are enough.
  Scenario: An owner releases the cell while the store is slow
    Given an owner of a cell whose store takes half a second to answer
    When it is told to end
    Then the newest word of it in the store is its release

  # Hosts were rolled one after the other. Each owner released the cell, and until the next
  # one had read that, claimed and read its claim back nothing started and no end was seen:
  # 0.3 s each time, and 1.2 s on a slow store, where 60 jobs of a day were late for it.
  Scenario Outline: An owner leaves the cell
    Given an owner with a peer that <answers>
    When it leaves the cell
    Then it has acted until <end>, and released <released>

    Examples:
      | answers                              | end                 | released |
      | claims 0.3 s after it is asked       | it was fenced       | nothing  |
      | is ready and claims nothing          | its release         | the cell |
      | does not answer when it is asked     | its release         | the cell |
