Feature: What an owner makes of runs that are lost with their runner

  # Guards against counting silence as a crash.
  Scenario Outline: What proves that a runner has crashed
    Given an owner with a task that runs on w1
    When <seen>
    Then the task waits with <count> crashes

    Examples:
      | seen                                                           | count |
      | another life answers at w1's address                           | 1     |
      | the leases on w1 run out                                       | 0     |
      | the leases on w1 run out, then w1 answers                      | 0     |
      | the leases on w1 run out, then another life answers            | 1     |
      | the leases on w1 run out, then another life is listed          | 0     |
      | w1 says that it leaves, then another life answers              | 0     |
      | w1 says that it leaves as its entry goes, then another answers | 0     |

  # Guards against counting a crash for a run that the runner never had.
  Scenario Outline: Which runs a runner has crashed under
    Given an owner with a task whose start on w1 <became>
    When another life answers at w1's address
    Then the task waits with <count> crashes, <close> of them close

    Examples:
      | became                                 | count | close |
      | waits for the store                    | 0     | 0     |
      | was sent and its answer is out         | 0     | 0     |
      | broke its connection                   | 1     | 1     |
      | was met with silence                   | 1     | 0     |
      | was answered                           | 1     | 0     |
      | was answered, and a stop is under way  | 1     | 0     |
      | was answered 30 s before               | 0     | 0     |

  Scenario: A crash that several exchanges tell of
    Given an owner with a task that runs on w1
    When another life answers at w1's address, to a look, a start and a stop
    Then the task waits with 1 crashes

  Scenario Outline: When a task is given up
    Given an owner with a task under which <before>
    When another life answers at w1's address
    Then its job is told as <state>

    Examples:
      | before                                         | state   |
      | nothing has crashed, and that runs on w1       | running |
      | 1 runner crashed, and that runs on w1          | running |
      | 2 runners crashed, and that runs on w1         | failed  |
      | 1 runner crashed, and that broke w1            | running |
      | 1 runner crashed closely, and that runs on w1  | running |
      | 1 runner crashed closely, and that broke w1    | failed  |
      | 2 runners crashed, and that ran on w1 for 30 s | running |

  Scenario Outline: A job that is over stays what it is
    Given an owner with a task under which 2 runners crashed, and that runs on w1
    When its job is <over>, and another life answers at w1's address
    Then its job is told as <over>

    Examples:
      | over      |
      | cancelled |
      | completed |

  # Guards against suspected tasks that start beside others.
  Scenario: Quarantined tasks start by themselves, where the least is lost
    Given an owner with 3 runners, of which w1 and w2 have work
    When two tasks break the connection of a fourth runner, which comes back
    Then one of them starts on the empty runner, and nothing else starts there
    And the other one starts on another runner
    And half a second later other tasks start beside them

  # The owner dies between a start and the crash, or between the crash and its record.
  Scenario Outline: What a successor knows of crashes
    Given a successor of an owner that had stored <stored>
    When it finds that another life answers at w1's address
    Then it counts <count> crashes under the task
    And it stores the next start before it is sent

    Examples:
      | stored                             | count |
      | the runner of a first start        | 0     |
      | a quarantined start on w1            | 2     |
      | a quarantined start on w1 as counted | 1     |
      | a quarantined start on w2            | 1     |

  Scenario Outline: A successor that never reaches the runner of a quarantined task
    Given a successor of an owner that had stored a quarantined start on w1
    When the leases on w1 must have run out and its entry <entry>
    Then it counts <count> crashes under the task

    Examples:
      | entry       | count |
      | has gone    | 2     |
      | stays there | 1     |

  Scenario: A first start needs no record of its own
    Given an owner with a task whose runner is stored
    Then its start is sent without another append

  # Guards against sending a start to a runner that fell silent meanwhile.
  Scenario: A runner falls silent while a start waits for the store
    Given an owner with a decided start on w1
    When w1 falls silent before the start is sent
    Then no start is sent to w1, and the task waits

  # Guards against taking runs of an incarnation that is over for found.
  Scenario: The answer of a life that is over comes late
    Given an owner with a task that runs on w1
    When a look at w1 is answered after another life was met there
    Then the task waits with 1 crashes

  Scenario: A runner's connection breaks
    Given an owner that looks at w1
    When the connection of the look breaks
    Then nothing is placed on w1 until a look is answered
