Feature: Placement over availability zones

  # Guards against losing many starts before a partition is detected.
  Scenario: A zone is cut off while jobs arrive
    Given 8 runners in each of the zones north, south and west, those outside south nearly full
    When south stops answering, and 8 jobs of 3 tasks arrive every 0.1 s for 1 s
    Then at most 12 starts go to south, all of them within 0.15 s
    When a runner of south answers again
    Then starts go to south again

  Scenario Outline: Missing answers that do not make a zone unreachable
    Given 8 runners in each of the zones north, south and west
    When <what>
    Then no zone counts as unreachable

    Examples:
      | what                                                         |
      | one runner of south leaves its orders unanswered             |
      | two runners of south are slow, and another one there answers |
      | two runners of south have not answered an order for 0.07 s   |
      | runners of all zones leave their orders unanswered           |

  Scenario: Runners that name no zone
    Given 8 runners that name no zone
    When two of them leave their orders unanswered
    Then no zone counts as unreachable

  # Guards against jobs that one partition delays although they could run elsewhere.
  Scenario Outline: Number of jobs that a partition of one zone delays
    Given 8 runners in each of the zones north, south and west
    When 90 jobs of 2 tasks are submitted by clients of all zones, <kind>
    Then a partition of any zone delays at most 36 of them

    Examples:
      | kind                        |
      | as single tasks             |
      | as gangs                    |
      | as single tasks with advice |

  # Guards against jobs that wait for their client's zone while slots in other zones are free.
  Scenario: Clients of one zone submit more than the zone can hold
    Given 8 runners in each of the zones north, south and west
    When 36 jobs of 20 cores are submitted by clients of north
    Then all 24 slots are used, those of north first
