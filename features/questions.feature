Feature: Questions to the policy service while much waits

  # Guards against tickets for runners that gangs have reserved.
  Scenario: Nothing is asked about runners that a gang has reserved
    Given a cell of 8 runners, all of them reserved for a gang
    When batch jobs are handed in that would end after the gang's turn
    Then nothing is asked

  # Guards against all steps asking about the same few runners.
  Scenario: Steps that wait together ask about different runners
    Given a cell of 40 runners whose batch queue asks for advice
    When 3 batch jobs are handed in
    Then their questions name 20 runners or more

  # Guards against a job that asks again in every plan because the store is slow to take it.
  Scenario: A job that the store has not taken yet asks once
    Given a cell of 40 runners whose batch queue asks for advice
    When a batch job is handed in that the store is slow to take
    And it has tickets for runners with room
    Then nothing is asked until they have expired

  # Guards against requests that queue for hosts and keep others waiting.
  Scenario: No more questions are asked than hosts are free to put
    Given a cell of 40 runners whose batch queue asks for advice
    When 10 batch jobs are handed in while 3 hosts are free
    Then the 3 jobs whose objectives end first ask
    And an urgent job asks all the same

  # Guards against plans whose cost grows with runners times steps.
  Scenario Outline: What a plan costs grows with the runners and with what waits, not with both
    Given a cell of 60 and one of 240 runners, each with 80 <kind> that wait for runners
    When both plan again
    Then the larger one makes at most 40 more calls for each more runner

    Examples:
      | kind        |
      | gangs       |
      | batch tasks |

  # Guards against starts and requests that are counted and never sent.
  Scenario Outline: The right to start ends while a plan is made
    Given an owner that plans <what> as its right to start ends
    When it has the right to start again
    Then the task is not left behind

    Examples:
      | what       |
      | a start    |
      | a question |
