Feature: A snapshot that is read again

  # The store forgot its history while a host was a few records behind. The host read all
  # keys again, page by page, and a job ended between two pages: neither its submission nor
  # its end was among them. A client whose request had waited meanwhile was told that the
  # job does not exist (410), as all had been read 20 ms before the request came.
  Scenario: A host reads a snapshot again that lacks a job which ends meanwhile
    Given a host that knows all that stands in the store
    When the store forgets its history and a job ends while the host reads a snapshot
    Then what it has read does not count as complete before it has read what followed
