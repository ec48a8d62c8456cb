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
