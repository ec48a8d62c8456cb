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

  # Guards against requests that are cut while a stopping daemon writes its last records.
  Scenario: A daemon is stopped while the log is slow
    Given a cell of 1 zones with 2 daemons, 2 workers and 2 endpoints
    And version 1 of the contract is in force
    When ub-east-d0 is stopped while clients submit jobs to it and the log is slow
    Then each request that a host took was answered or refused
    And ub-east-d0 ends with status 0
