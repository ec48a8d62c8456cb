Feature: What a release leaves out

  # Guards against a release that hides what earlier owners may still renew.
  Scenario: A successor that still waits for a cut-off owner releases the cell
    Given a successor that waits for the leases of an owner that was cut off
    When it releases the cell to a third owner
    Then the third owner waits no less than the successor would have

  # Guards against a heartbeat that lands behind the release.
  Scenario: An owner releases the cell while the store is slow
    Given an owner of a cell whose store takes half a second to answer
    When it is told to end
    Then the newest word of it in the store is its release

  # Guards against a gap without an owner when one leaves.
  Scenario Outline: An owner leaves the cell
    Given an owner with a peer that <answers>
    When it leaves the cell
    Then it has acted until <end>, and released <released>

    Examples:
      | answers                              | end                 | released |
      | claims 0.3 s after it is asked       | it was fenced       | nothing  |
      | is ready and claims nothing          | its release         | the cell |
      | does not answer when it is asked     | its release         | the cell |
