Feature: A host that is cut off from the store and all other zones

  # Guards against confusing a partition with an outage, a lost owner or a slow link.
  Scenario Outline: A partition is distinguished from other failures
    Given a host in north that got replies of <others> 0.1 s ago and of the store <age> s ago
    When it queries hosts of south and west, of which <answer>
    Then the host counts as <verdict>

    Examples: a partition, a store outage, a lost owner, a start
      | others     | age | answer            | verdict     |
      | both zones | 0.7 | none replies      | cut off     |
      | both zones | 0.7 | both reply        | not cut off |
      | both zones | 0.7 | only west replies | not cut off |
      | both zones | 0.1 | none replies      | not cut off |
      | nobody     | 9.0 | none replies      | cut off     |

  Scenario Outline: Cells in which a partition cannot be detected
    Given a host in north of a cell <cell>
    When the store has been silent for 9 s and no host replies
    Then the host counts as not cut off

    Examples:
      | cell                     |
      | of one zone              |
      | whose hosts name no zone |
      | without other hosts      |

  Scenario: A host that reaches another zone again
    Given a host in north that is cut off
    When a host of west replies
    Then the host counts as not cut off

  Scenario: Unanswered queries expire
    Given a host in north that is cut off
    When 2.1 s have passed without a query
    Then the host counts as not cut off

  # Guards against sending clients away from a host whose slow link is busy.
  Scenario: A host receives a long answer while its peers do not reply in time
    Given a host in north that is receiving an answer of the store, and whose peers do not reply
    When it queries other zones
    Then the host is not cut off

  # Guards against querying other zones once for each request during a partition.
  Scenario: Many requests at once inside a partition
    Given a host in north whose store and peers do not reply
    When 20 requests check whether it is cut off
    Then each of them finds it cut off within 1 s
    And 2 queries were sent

  # Guards against delaying clients at a host that cannot accept jobs.
  Scenario: A request at a host that is cut off
    Given a host that is cut off, which the load balancer checked 0.3 s ago
    When a client submits a job there
    Then the job is refused at once, to be retried in 2 s
    And the answer says that the job was not run, and no peer was queried

  Scenario Outline: When the load balancer has removed a host
    Given a load balancer that checks a host every second, the last time 0.3 s ago
    When it has been told <failed> times that the host is not ready
    Then clients are sent there for <seconds> s more

    Examples:
      | failed | seconds |
      | 0      | 1.7     |
      | 1      | 0.7     |
      | 2      | 0.0     |
      | 5      | 0.0     |

  # Guards against clients that keep their connections to a host that is out of rotation.
  Scenario Outline: Connections to a host that is not ready
    Given a server that is <ready>
    When a client sends it a request
    Then its connection is <fate>

    Examples:
      | ready     | fate      |
      | ready     | kept open |
      | not ready | closed    |
