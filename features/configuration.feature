Feature: The operators' configuration on entry hosts

  # Guards against an outdated configuration for as long as the answer to a lost read is waited for.
  Scenario: The reads in progress at the store are never answered
    Given a host that has version 1 of the configuration in force
    When all reads in progress at the store lose their answers, and version 2 is written
    Then version 2 is in force within 2 s

  # Guards against taking answers about other topics for a sign that the configuration is current.
  Scenario: The store answers about all topics but the operator's
    Given a host that has version 1 of the configuration in force
    When only reads of the operator's topic are never answered, and a peer has version 2
    Then version 2 is in force within 2 s

  # Guards against an outdated configuration while the peers asked at random know no newer one.
  Scenario Outline: A host without the store asks <hosts> peers, of which one can confirm
    Given <hosts> peers, of which <confirming> can confirm a configuration
    When a host without the store asks them
    Then a peer confirms it in round <rounds> at the latest, and in each round after that

    Examples:
      | hosts | confirming | rounds |
      | 8     | 8          | 1      |
      | 8     | 1          | 2      |
      | 45    | 30         | 3      |
      | 45    | 1          | 4      |

  # Guards against the load of all hosts asking all others while the store is down.
  Scenario: No peer can confirm a configuration
    Given 45 peers, of which 0 can confirm a configuration
    When a host without the store asks them
    Then from round 5 on it asks 3 peers at once, and each peer once in 15 rounds

  # Guards against asking a host forever that has confirmed once and then failed.
  Scenario: The host that confirmed last fails
    Given 8 peers, of which 1 can confirm a configuration
    When a host without the store asks them
    And another peer can confirm it instead
    Then a peer confirms it in round 3 at the latest, and in each round after that

  # Guards against denying a queue that has been added while this host could not read the store.
  Scenario Outline: A client calls a queue that a host does not know
    Given a host whose configuration may be outdated by <age> s, and peers that <peers>
    When a client calls a queue that is missing in its version
    Then its call is answered with <status>

    Examples:
      | age | peers                          | status |
      | 0.1 | do not answer                  | 404    |
      | 9.0 | have a version with that queue | 200    |
      | 9.0 | have the same version          | 404    |
      | 9.0 | cannot read the store either   | 503    |
      | 9.0 | do not answer                  | 503    |

  # Guards against calls that are handled by a version that is known to be outdated.
  Scenario Outline: A host knows of a newer version that it cannot get
    Given a host that is <contact>, and has known of a newer version for <age> s
    When a client calls a queue of the version in force
    Then its call is answered with <status>

    Examples:
      | contact   | age | status |
      | connected | 0.5 | 200    |
      | connected | 1.5 | 503    |
      | cut off   | 1.5 | 200    |

  # Guards against a host with a slow link that reads every version of a large configuration.
  Scenario: Many versions of a large configuration are written while a host cannot read
    Given a host that has missed 100 versions of 50 kB
    When it reads the operator's topic again
    Then the newest version is in force, and 10 versions at most were sent to the host

  # Guards against beginning a read again that is still receiving.
  Scenario Outline: A large version takes most of the deadline on the link of a host
    Given a host with a link of <rate> Mbit/s, <load> kB/s of other traffic, and 0 peers
    When a version with <routes> routes is written, which the peers have at once
    Then it is in force within the operators' deadline, or about the time that the link needs
    And the store has not been silent for 0.6 s meanwhile

    Examples:
      | rate | load | routes |
      | 5    | 0    | 4200   |
      | 5    | 80   | 4200   |
      | 2    | 0    | 2800   |
      | 10   | 0    | 4200   |

  # Guards against answers of peers that fill the link of the host that queries them.
  Scenario Outline: Peers have a large version that a host is still reading
    Given a host with a link of <rate> Mbit/s, <load> kB/s of other traffic, and <peers> peers
    When a version with <routes> routes is written, which the peers have at once
    Then it is in force within the operators' deadline, or about the time that the link needs
    And the link has carried fewer bytes than the version has

    Examples:
      | rate | load | peers | routes |
      | 5    | 0    | 8     | 4200   |
      | 5    | 80   | 38    | 2800   |
      | 2    | 20   | 8     | 2800   |

  # Guards against work for each route of a configuration when a few are added.
  Scenario: A version adds a few routes to thousands
    Given a host that has decoded a configuration with 2000 routes
    When it decodes a version with 10 routes more
    Then 2000 of its queues are those of the former version, and 10 are new

  # Guards against lookups that take longer the more routes there are, or miss the longest prefix.
  Scenario Outline: A path has the prefixes of several routes
    Given a configuration with the prefixes "/a/", "/a/b/", "/a/b" and "" among 4000 others
    When a call to <path> is looked up 2000 times
    Then it belongs to <prefix>, and 2000 lookups among 4 routes take at least a tenth as long

    Examples:
      | path   | prefix   |
      | /a/b/c | "/a/b/"  |
      | /a/bc  | "/a/b"   |
      | /a/c   | "/a/"    |
      | /c     | ""       |
