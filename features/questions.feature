Feature: Questions to the policy service while much waits

  # After an outage of 6 s some 1,100 batch tasks waited for half a minute while a quarter
  # of the processors stood idle. Their steps asked about runners that gangs had reserved,
  # and each time found that their tickets were of no use.
  Scenario: Nothing is asked about runners that a gang has reserved
    Given a cell of 8 runners, all of them reserved for a gang
    When batch jobs are handed in that would end after the gang's turn
    Then nothing is asked

  # All steps asked about the runners with most room: the same dozen. The first to have
  # its tickets took that room, the others asked again, and smaller rooms stayed empty.
  Scenario: Steps that wait together ask about different runners
    Given a cell of 40 runners whose batch queue asks for advice
    When 3 batch jobs are handed in
    Then their questions name 20 runners or more

  # While the store was slow, each step of a job that it had not taken yet asked in every
  # plan for tickets that it had: 1,000 questions a second, and gangs waited 3 s for theirs.
  Scenario: A job that the store has not taken yet asks once
    Given a cell of 40 runners whose batch queue asks for advice
    When a batch job is handed in that the store is slow to take
    And it has tickets for runners with room
    Then nothing is asked until they have expired

  # Questions of a second each queued up for free hosts, 60 to 160 of them. Whoever became
  # more urgent meanwhile waited behind all of them, and a gang's first tickets had expired
  # when its last ones came.
  Scenario: No more questions are asked than hosts are free to put
    Given a cell of 40 runners whose batch queue asks for advice
    When 10 batch jobs are handed in while 3 hosts are free
    Then the 3 jobs whose objectives end first ask
    And an urgent job asks all the same

  # In a burst on 270 runners a plan took 70 ms, most of it to look again and again at all
  # runners for each step that waits: starts waited for plans, and urgent jobs were late.
  Scenario Outline: What a plan costs grows with the runners and with what waits, not with both
    Given a cell of 60 and one of 240 runners, each with 80 <kind> that wait for runners
    When both plan again
    Then the larger one makes at most 40 more calls for each more runner

    Examples:
      | kind        |
      | gangs       |
      | batch tasks |

  # At the end of a day a step could run, most runners were free, and it never started. The
  # store had stopped answering; the owner's right to start ended while a plan was being
  # made, and what the plan had decided was neither sent nor taken back: a task counted as
  # on its way for ever, a step as waiting for its advice.
  Scenario Outline: The right to start ends while a plan is made
    Given an owner that plans <what> as its right to start ends
    When it has the right to start again
    Then the task is not left behind

    Examples:
      | what       |
      | a start    |
      | a question |
