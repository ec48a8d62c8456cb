Feature: A snapshot that is read again

  # Guards against telling a client that a job does not exist while it ends.
  Scenario: A host reads a snapshot again that lacks a job which ends meanwhile
    Given a host that knows all that stands in the store
    When the store forgets its history and a job ends while the host reads a snapshot
    Then what it has read does not count as complete before it has read what followed
