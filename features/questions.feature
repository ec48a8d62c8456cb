Feature: Requests to the policy service while many jobs wait

  # Guards against tickets for runners that gangs have reserved.
  Scenario: No request names runners that a gang has reserved
    Given a cell of 8 runners, all of them reserved for a gang
    When batch jobs are submitted that would end after the gang's start
    Then no advice is requested

  # Guards against steps that all request advice on the same few runners.
  Scenario: Steps that wait together request advice on different runners
    Given a cell of 40 runners whose batch queue needs advice
    When 3 batch jobs are submitted
    Then their requests name 20 runners or more

  # Guards against a job that requests advice in every plan because it is not stored yet.
  Scenario: A job that is not stored yet requests advice once
    Given a cell of 40 runners whose batch queue needs advice
    When a batch job is submitted that is not stored yet
    And it has tickets for runners with free capacity
    Then no advice is requested until they have expired

  # Guards against requests that wait for a host and delay more urgent ones.
  Scenario: No more requests are made than hosts are free to send
    Given a cell of 40 runners whose batch queue needs advice
    When 10 batch jobs are submitted while 3 hosts are free
    Then the 3 jobs whose objectives end first request advice
    And an urgent job requests advice regardless

  # Guards against plans whose cost grows with runners times steps.
  Scenario Outline: The cost of a plan grows with the runners plus the waiting steps, not their product
    Given a cell of 60 and one of 240 runners, each with 80 <kind> that wait for runners
    When both plan again
    Then the larger one makes at most 40 more calls for each additional runner

    Examples:
      | kind        |
      | gangs       |
      | batch tasks |

  # Guards against starts and requests that are counted as sent but never sent.
  Scenario Outline: The owner's authority ends while it plans
    Given an owner that plans <what> as its authority ends
    When it has authority again
    Then the task is planned again

    Examples:
      | what      |
      | a start   |
      | a request |
