Feature: A contract version takes effect everywhere or not at all

  # Guards against two operators who are both told that their version was published.
  Scenario: Two operators publish the same version at once
    Given a cell of 2 zones with 2 daemons, 1 workers and 1 endpoints
    And version 1 of the contract is in force
    When two operators publish version 2 at once through different daemons
    Then one is told that it is committed and the other that it lost
    And version 2 is in force on every daemon

  # Guards against a paused member that still enforces the old version after it resumes.
  Scenario: A member is paused during a publication
    Given a cell of 2 zones with 1 daemons, 1 workers and 1 endpoints
    And version 1 of the contract is in force
    When ub-west-d0 is paused
    And version 2 is published
    Then the operator is told that it was aborted because ub-west-d0 had not staged it
    When ub-west-d0 is resumed
    Then version 1 is in force on every daemon
    When version 2 is published
    Then the operator is told that it is in force

  # Guards against a publication that waits for a member that has ended.
  Scenario: A member dies before a publication
    Given a cell of 2 zones with 2 daemons, 1 workers and 1 endpoints
    And version 1 of the contract is in force
    When ub-west-d0 is killed
    And version 2 is published
    Then the operator is told that it is in force
    And version 2 is in force on every daemon

  # Guards against a new daemon that accepts requests without a contract.
  Scenario: A new daemon starts during an outage of the log
    Given a cell of 1 zones with 3 daemons, 1 workers and 2 endpoints
    And version 1 of the contract is in force
    When the log is unavailable
    And ub-east-d2 is killed and started again
    Then ub-east-d2 is ready with version 1 within 10 seconds
    And requests to ub-east-d2 are answered within 10 seconds
    When the log is available again
    Then version 1 is in force on every daemon

  # Guards against a publication that fails because the log's answers are lost.
  Scenario: Answers are lost during a publication
    Given a cell of 2 zones with 1 daemons, 1 workers and 1 endpoints
    And version 1 of the contract is in force
    When the log loses the next 3 answers
    And version 2 is published
    Then the operator is told that it is in force
    And version 2 is in force on every daemon

  Scenario Outline: An invalid contract is refused with field, value and what is allowed
    Given a shared cell
    When an operator publishes a contract with <change>
    Then it is refused as not_run and the answer names <words>

    Examples:
      | change                                       | words                   |
      | {"weight": -1}                               | weight                  |
      | {"weight": "much"}                           | weight                  |
      | {"quota": {"processors": 1e300}}             | processors              |
      | {"colour": "red"}                            | colour                  |
      | {"classes": []}                              | classes                 |
      | {"classes": [{"name": "vip", "priority": 1, "longest_wait": 1}]} | vip |
      | {"guaranteed": {"processors": 4000}}         | guaranteed              |
      | {"version": 0}                               | version                 |
      | {"requests": {"retry_budget": 2}}            | retry_budget            |
