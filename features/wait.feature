Feature: The wait in effect

  # These pass. Each kills a change of the code that succession.feature lets pass.
  Scenario: A job on a runner that only the former owner reaches
    Given a store with an owner of which a new host has only read, and its job on w9
    When that host owns the cell
    Then that job stays alone for all 17.7 s, and not for longer

  # Guards against a claim that promises too short a wait.
  Scenario: What a claim says of earlier owners' leases
    Given the longest lease that an owner may grant at the end of its authority
    Then a claim says that it may last as long

  Scenario: No proof that the former owner has ended
    Given a wait for an owner that was heard of just now
    When its successor looks for a proof that it has ended and finds none
    Then the wait is as long as before

  Scenario: A host that has to read a snapshot again
    Given a host that has known the owner for long
    When it reads a snapshot with a later heartbeat of that owner
    Then the owner counts as heard of just now
