Feature: Requests get a complete answer or a correct verdict

  # A planned stop under load must not cut off requests in flight.
  Scenario: A daemon is stopped in order with requests in flight
    Given a cell of 1 zones with 2 daemons, 2 workers and 4 endpoints
    And version 1 of the contract is in force
    When 6 requests of 1.5 seconds are in progress at ub-east-d0
    And ub-east-d0 is told to stop
    Then all of them are answered with verdict ran
    And ub-east-d0 ends with status 0
    And every shard has a live owner within 10 seconds

  # An endpoint that the host list shows as leaving must get no further requests.
  Scenario: An endpoint leaves
    Given a cell of 1 zones with 2 daemons, 1 workers and 2 endpoints
    And version 1 of the contract is in force
    When ub-east-e0 is listed as leaving
    And 3 seconds pass
    And 30 requests are sent to all daemons
    Then ub-east-e0 has received none of them

  # An answer that arrives after its deadline must not be used as that of a later request.
  Scenario: Answers arrive after their deadline
    Given a cell of 1 zones with 2 daemons, 1 workers and 1 endpoints
    And version 1 of the contract is in force
    When 20 requests of 1.2 seconds with a deadline of 500 milliseconds are sent
    And 20 more of them are sent while the runners still work
    Then each is answered with its own body or a problem with a correct verdict
    And all guarantees hold

  # With no working runner, a request that is refused as not_run must not have run.
  Scenario: All runners fail
    Given a cell of 1 zones with 2 daemons, 1 workers and 1 endpoints
    And version 1 of the contract is in force
    When every endpoint drops its connections
    And 10 requests are sent to all daemons
    Then the runners' records confirm each refusal as not_run

  # A non-idempotent request that reaches several daemons at once must not be sent twice.
  Scenario: A non-idempotent request with a key is sent once, whichever daemon receives it
    Given a cell of 2 zones with 2 daemons, 1 workers and 2 endpoints
    And version 1 of the contract is in force
    When the same settlement request is sent to every daemon at once, 3 times over
    Then exactly one answer is the runner's, and the others say that it ran or may have
    And the runners received it once
    When the log is unavailable
    And another settlement request is sent to ub-east-d0
    Then it was refused as not_run and no runner saw it
    When the log is available again
    Then the same request is answered once the log is available again
