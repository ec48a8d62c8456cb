Feature: How long a successor waits for the leases of earlier owners

  # Each scenario here fails on a change of the code that no scenario of succession.feature detects.
  Scenario: A job on a runner that only the previous owner reaches
    Given a store with an owner that a new host has never heard from, and its job on w9
    When that host owns the cell
    Then that job stays blocked for all 17.7 s, and not for longer

  # Guards against a claim that announces too short a wait.
  Scenario: The wait for earlier owners' leases that a claim announces
    Given the longest lease that an owner may grant at the end of its authority
    Then the wait that a claim announces covers it

  Scenario: No proof that the previous owner has ended
    Given a wait for an owner that was heard from just now
    When its successor checks for proof that it has ended and finds none
    Then the wait is as long as before

  Scenario: A host that has to read a snapshot again
    Given a host that has long known the owner
    When it reads a snapshot with a later heartbeat of that owner
    Then the owner counts as heard from just now
