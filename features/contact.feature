Feature: A host that is cut off from the store and all other zones

  # Guards against confusing a partition with an outage, a lost owner or a slow link.
  Scenario Outline: What tells a cut from other troubles
    Given a host in north that heard <others> 0.1 s ago and the store <age> s ago
    When it asks hosts of south and west, of which <answer>
    Then the host counts as <verdict>

    Examples: a cut, a store that is away for all, a lost owner, a start
      | others      | age | answer        | verdict       |
      | both zones  | 0.7 | none does     | cut off       |
      | both zones  | 0.7 | both do       | not cut off   |
      | both zones  | 0.7 | only west does | not cut off  |
      | both zones  | 0.1 | none does     | not cut off   |
      | nobody      | 9.0 | none does     | cut off       |

  Scenario Outline: Sites that cannot tell
    Given a host in north of a site <site>
    When the store has been silent for 9 s and nobody answers
    Then the host counts as not cut off

    Examples:
      | site                     |
      | of one zone              |
      | whose hosts name no zone |
      | without other hosts      |

  Scenario: A host that hears of another zone again
    Given a host in north that is cut off
    When a host of west answers
    Then the host counts as not cut off

  Scenario: Questions that were put long ago
    Given a host in north that is cut off
    When 2.1 s have passed without a question
    Then the host counts as not cut off

  # Asked around for each request, a cut would be answered by as many questions.
  Scenario: Many requests at once behind a cut
    Given a host in north whose store and peers are silent
    When 20 requests look whether it is cut off
    Then each of them learns so within 1 s
    And 2 questions were put

  # Guards against holding up clients at a host that can accept nothing.
  Scenario: A request at a host that is cut off
    Given an entry host that is cut off, which the balancer asked 0.3 s ago
    When a client hands a job in there
    Then the job is refused at once, to come back in 2 s
    And the job may run elsewhere, as nothing was tried

  Scenario Outline: When the balancer has taken a host out
    Given a balancer that asks a host every second, the last time 0.3 s ago
    When it has been told <misses> times that the host is not ready
    Then clients are sent there for <seconds> s more

    Examples:
      | misses | seconds |
      | 0      | 1.7     |
      | 1      | 0.7     |
      | 2      | 0.0     |
      | 5      | 0.0     |

  # Guards against clients that keep their connections to a host out of rotation.
  Scenario Outline: Connections to a host that is not ready
    Given a server that is <ready>
    When a client sends it a request
    Then its connection is <fate>

    Examples:
      | ready     | fate      |
      | ready     | kept open |
      | not ready | closed    |
