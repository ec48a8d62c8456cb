Feature: Loading another snapshot after records have expired

  # Guards against answering that a job is unknown if it ends while a snapshot is read.
  Scenario: A job ends while a host reads a snapshot, and is missing from it
    Given a host that has loaded all records of the store
    When the store drops old records and a job ends while the host reads a snapshot
    Then the host does not count as up to date before it has read the later records
