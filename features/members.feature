Feature: Records of the hosts that are members

  # Guards against a host that lives and that no peer knows, after a late append of an earlier process
  # or after its owner has removed it.
  Scenario Outline: A host checks its member record
    Given a host whose newest member record is <record>
    When it checks its record
    Then it <acts>

    Examples:
      | record                     | acts                 |
      | missing                    | writes its record    |
      | of an earlier process      | writes its record    |
      | its own                    | writes nothing       |
      | missing, as it is stopping | writes nothing       |

  # Guards against a host that no peer knows for long after an outage in which it started.
  Scenario: The store refuses the record at first
    Given a host whose newest member record is missing
    And a store that takes no append for 6 s
    When it keeps its record
    Then its record is stored within 1 s after the outage

  Scenario: A host stops
    Given a host whose newest member record is its own
    When it leaves
    Then its record is deleted

  # Guards against a lost host that stays a successor, a zone's writer and a peer for good, and against
  # removing one that lives.
  Scenario Outline: An owner queries a member
    Given an owner <owner>, and a member that <answers>
    When the owner queries the members for <seconds> s
    Then the member is <fate>

    Examples:
      | owner                            | answers                               | seconds | fate    |
      | whose store answers              | does not answer                       | 29      | kept    |
      | whose store answers              | does not answer                       | 40      | removed |
      | whose store answers              | refuses connections                   | 40      | removed |
      | whose store answers              | answers that it cannot own the cell   | 40      | kept    |
      | whose store answers              | answers once, after 20 s              | 45      | kept    |
      | whose store answers              | restarts after 20 s                   | 45      | kept    |
      | whose store does not answer      | does not answer                       | 40      | kept    |
      | that another owner has succeeded | does not answer                       | 40      | kept    |

  Scenario: An owner of many hosts
    Given an owner of 20 members, of which 3 do not answer
    When the owner has sent 60 queries
    Then each member was queried at least once, and each silent one at least 3 times
