Feature: Hosts are stopped while clients go on using their connections

  # Guards against a request that reaches a stopping host and gets neither an answer nor a refusal.
  Scenario Outline: Clients use open connections until the process is gone
    Given 3 entry hosts, each with clients on kept connections
    When the hosts are stopped one after the other <condition>
    Then each request that a host took was answered or refused
    And each host has ended by itself within its grace

    Examples:
      | condition                          |
      | and nothing else happens           |
      | while the store is slow            |
      | while they get little of processor |
