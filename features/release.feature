Feature: Release of a cell by its owner

  # Guards against a release that hides leases which earlier owners may still renew.
  Scenario: A successor that still waits for a partitioned owner releases the cell
    Given a successor that waits for the leases of a partitioned owner
    When it releases the cell to a third owner
    Then the third owner waits no less than the successor would have

  # Guards against a heartbeat that is stored after the release.
  Scenario: An owner releases the cell while the store is slow
    Given an owner of a cell whose store takes half a second to answer
    When it is told to end its term
    Then its newest record in the store is the release

  # Guards against a gap without an owner when the owner hands over the cell.
  Scenario Outline: An owner hands over the cell
    Given an owner with a peer that <answers>
    When it hands over the cell
    Then it acts until <end>, and releases <released>

    Examples:
      | answers                              | end                 | released |
      | claims 0.3 s after it is asked       | it was fenced       | nothing  |
      | is ready and claims nothing          | its release         | the cell |
      | does not answer when it is asked     | its release         | the cell |
