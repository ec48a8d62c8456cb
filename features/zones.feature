Feature: Placement that knows availability zones

  # Guards against starts that are lost before a partition is noticed.
  Scenario: A zone is cut off while jobs come
    Given 8 runners in each of the zones north, south and west, those outside south nearly full
    When south falls silent, and 8 jobs of 3 tasks come every 0.1 s for 1 s
    Then at most 12 starts go to south, all of them within 0.15 s
    When a runner of south answers again
    Then starts go to south once more

  Scenario Outline: What puts no zone in doubt
    Given 8 runners in each of the zones north, south and west
    When <what>
    Then no zone is in doubt

    Examples:
      | what                                                            |
      | one runner of south leaves its orders unanswered                |
      | two runners of south are slow, and another one there answers    |
      | two runners of south have had an order for 0.07 s               |
      | runners of all zones leave their orders unanswered              |

  Scenario: Runners that name no zone
    Given 8 runners that name no zone
    When two of them leave their orders unanswered
    Then no zone is in doubt

  # Guards against jobs that one partition holds up though they could run elsewhere.
  Scenario Outline: How many jobs one zone holds up
    Given 8 runners in each of the zones north, south and west
    When 90 jobs of 2 tasks come from clients of all zones, <kind>
    Then a cut of any zone holds up at most 36 of them

    Examples:
      | kind                          |
      | as single tasks               |
      | as gangs                      |
      | as single tasks with advice   |

  # Kept at home at any price, work waited beside free seats elsewhere.
  Scenario: Clients of one zone ask for more than it holds
    Given 8 runners in each of the zones north, south and west
    When 36 jobs of 20 cores come from clients of north
    Then all 24 seats are taken, those of north first
