Feature: Gangs on runners of different speeds

  # Guards against a gang that is slowed down by one slow member although fast runners have slots,
  # and against fast slots that wait for a slow member.
  Scenario Outline: Members are placed on runners of one speed
    Given runners of speed 1.2 with <fast> slots and of speed 0.55 with <slow> slots for a gang
    When a gang of 3 tasks of 4 s becomes ready
    Then its members start on <members>

    Examples:
      | fast | slow | members              |
      | 3    | 4    | fast fast fast       |
      | 1    | 4    | slow slow slow       |
      | 1    | 2    | fast slow slow       |

  # Guards against a gang that starts on slow runners although fast ones come free soon, and against
  # one that waits for longer than it gains.
  Scenario Outline: A gang weighs fast runners that come free later
    Given runners of speed <speed> with 0 slots and of speed 0.55 with 4 slots for a gang
    And the tasks on the fast runners end in <end> s
    When a gang of 3 tasks of 4 s becomes ready
    Then its members start on <members>

    Examples:
      | speed | end | members        |
      | 1.2   | 2   | nothing        |
      | 1.2   | 3.5 | slow slow slow |
      | 0.6   | 0.2 | slow slow slow |

  # Guards against the new placement where runners are equally fast.
  Scenario: Gangs on runners of hardly different speeds start as before
    Given runners of speed 1.2 with 1 slots and of speed 0.55 with 4 slots for a gang
    But the speeds count as even
    When a gang of 3 tasks of 4 s becomes ready
    Then its members start in the order of free capacity

  # Guards against a gang that keeps fast runners idle while their tasks overrun again and again.
  Scenario: A wait for fast runners ends after the seconds that it could save
    Given runners of speed 1.2 with 0 slots and of speed 0.55 with 4 slots for a gang
    And the tasks on the fast runners end in 1 s
    When a gang of 3 tasks of 4 s becomes ready
    And those tasks overrun until the gang starts
    Then it has waited for 3.6 s to 3.94 s

  # Guards against a gang that starts on the slow runners of the first answer.
  Scenario: A gang waits for the answers that are still due
    Given a gang with a ticket for a slow runner whose other request is not answered yet
    When the answer allows a fast runner
    Then its members start on fast fast

  # Guards against two gangs that wait for each other's runners indefinitely.
  Scenario: Of two gangs with reservations on each other's runners, the first in rank starts
    Given two gangs that each wait for one fast runner of their own
    When the runner of the second comes free first
    Then the first gang starts there, and the second one on the other runner later

  # Guards against a backfilled task that delays a gang, as it takes longer on a slow runner.
  Scenario Outline: Backfilled tasks end before the gang starts, at the speed of the runner
    Given a gang that waits 2 s for both runners, each of speed <speed>
    When a batch task of 1 s is submitted, too
    Then it starts: <starts>

    Examples:
      | speed | starts |
      | 1.0   | yes    |
      | 0.5   | no     |

  # Guards against stopping work that has run for long, and more work than the gang gains.
  Scenario Outline: Preemption stops what loses least, and only what is worth it
    Given runners of speed 1.0 on which batch tasks have run for <first> s and <second> s
    When a gang waits for one of them for 4 s
    Then the stopped tasks are those on <runner>

    Examples:
      | first | second | runner  |
      | 3     | 1      | r2      |
      | 1     | 3      | r1      |
      | 5     | 6      | nothing |

  # Guards against work that counts as lost although a checkpoint has saved it.
  Scenario: Work before a checkpoint is not lost
    Given runners of speed 1.0 on which batch tasks have run for 3 s and 1 s
    And the tasks on r1 have listed a checkpoint just now
    When a gang waits for one of them for 4 s
    Then the stopped tasks are those on r1

  # Guards against decisions that no log line explains.
  Scenario: A gang that waits is logged with the inputs of the decision
    Given runners of speed 1.2 with 0 slots and of speed 0.55 with 4 slots for a gang
    And the tasks on the fast runners end in 2 s
    When a gang of 3 tasks of 4 s becomes ready
    Then the log has the speed groups, and the wait with its inputs
