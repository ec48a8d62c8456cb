Feature: Requests and jobs from submission to result
  A contract is published, requests are answered, jobs run once.
  A settlement is a payment: it must not run twice.

  Scenario: A contract version comes into force on every daemon
    Given a shared cell
    Then every daemon enforces version 1 of khangai

  Scenario Outline: An urgent request is answered completely by any daemon
    Given a shared cell
    When a caller sends an echo request to <daemon>
    Then the answer has its own mark and body, with verdict ran

    Examples:
      | daemon     |
      | ub-east-d0 |
      | ub-east-d1 |
      | ub-west-d0 |
      | ub-west-d1 |

  Scenario: A settlement is accepted, placed and run once
    Given a shared cell
    When a settlement is submitted twice with one key
    Then both submissions name the same job
    And the job ends as succeeded
    And the workers' records show one run of it

  # Guards against running a payment again after the details of its job were dropped.
  Scenario: An old idempotency key is remembered after its job's details are dropped
    Given a cell that keeps the details of 5 ended jobs
    When a settlement with key old has ended and 12 others after it
    Then submitting it again with key old is answered as already run
    And the workers' records show one run of it

  Scenario: Every decision has a log line
    Given a shared cell
    When a settlement is submitted twice with one key
    Then the job ends as succeeded
    And the logs have a line for each of placement, jobs, routing, ownership, contracts
