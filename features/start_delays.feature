Feature: A gang that is ready starts in time, or the log says what it waits for

  # Guards against a gang that waits with free capacity and no log line that says for what.
  Scenario Outline: An overdue gang is logged with what it waits for
    Given a gang whose <wait> is missing
    When it has been ready for 1 s
    Then the log says that it waits for <reason>
    And it says so again 4 s later at the earliest

    Examples:
      | wait         | reason                                        |
      | capacity     | capacity on the allowed runners               |
      | answer       | an answer of the policy service               |
      | allowed set  | more runners that are known to be allowed     |
      | ticket       | new tickets for allowed runners               |
      | record       | its job to be stored                          |
      | former end   | former runs of its members                    |
      | reservation  | runners that are reserved for other gangs     |
      | fast runner  | faster runners                                |
      | runner       | a usable runner                               |

  # Guards against a step that waits although it fits twice over on the runners that its policy
  # allows, and less than half of the processors are in use.
  Scenario Outline: A step that fits twice over starts within 3 s
    Given a cell in which <situation>
    When it is played for <seconds> s
    Then no step that fits twice over has waited for more than 3 s

    Examples: Single waits
      | seconds | situation                                                    |
      | 12      | the runners that a gang knows are taken until long after     |
      | 12      | more gangs wait than may reserve runners                     |
      | 12      | a gang waits for faster runners again and again              |
      | 12      | a quarantined gang knows only runners with unanswered starts |
      | 12      | a task may not join another one on the only known runner     |
      | 12      | idle runners are reserved for a gang that starts much later  |
      | 12      | two requests for the first tickets of a gang fail            |
      | 12      | a wide step that fits nowhere comes before a small one       |

    # Guards against a gang without room that holds up a less urgent queue for good.
    Examples: Gangs without room
      | seconds | situation                                                   |
      | 20      | a gang has no room beside a service without an estimate     |
      | 20      | a gang has no room beside a service with an estimate of 1 s |
      | 40      | a gang has no room beside runs that overrun their estimates |
      | 40      | a gang has no room beside runs that take far more than 4 s  |
      | 40      | a gang has no room beside urgent runs that are replaced     |

    # Some gangs never end, some requests fail, and idle runners are replaced all the while.
    Examples: Many gangs
      | seconds | situation                                                                           |
      | 20      | 2 gangs a second may use 0.15 of 176 runners, 0 endless, 0 unanswered, seed 6   |
      | 20      | 2 gangs a second may use 0.15 of 176 runners, 0.1 endless, 0 unanswered, seed 4 |
      | 20      | 1 gangs a second may use 0.12 of 100 runners, 0.15 endless, 0 unanswered, seed 8 |
      | 20      | 2 gangs a second may use 0.3 of 176 runners, 0 endless, 0.1 unanswered, seed 8  |

  # Guards against a gang that never starts in a cell that is short of memory but not of processors:
  # overdue single tasks take the runners that it has reserved.
  Scenario: Single tasks arrive while a gang waits for memory
    Given a cell whose memory is used up by single tasks of 3 s, and whose processors are half idle
    When a gang that needs the memory of six runners joins them
    Then it starts within 14 s

  # Guards against a wide gang that short tasks keep from starting although it fits.
  Scenario: Short tasks arrive while a gang fits beside a service
    Given a service and short tasks on all runners, with 20 processors free on each
    When a gang with a task of 18 processors for each runner joins them
    Then it starts within 1 s

  # Guards against overdue gangs that take the time of the policy service in a full cell.
  Scenario: Overdue gangs that cannot fit request nothing
    Given a cell in which ten gangs are too wide for what is free
    When it is played for 4 s
    Then nothing is requested in the next 6 s
