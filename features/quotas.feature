Feature: Quotas and job rates of client accounts

  # Guards against an account that has more running than its quota.
  Scenario Outline: What counts against a quota
    Given the account blue with a quota of 8 cores, and 32 cores free
    And <before>
    When blue submits <count> tasks of 2 cores
    Then <starting> of them start

    Examples:
      | before                                                | count | starting |
      | nothing runs                                          | 6     | 4        |
      | a task of blue of 4 cores runs                        | 6     | 2        |
      | a task of blue of 4 cores is being stopped            | 6     | 2        |
      | a start of blue of 4 cores has an unknown outcome     | 6     | 2        |
      | a task of red of 4 cores runs                         | 6     | 4        |
      | a task of blue of 8 cores runs                        | 6     | 0        |
      | blue's quota is lowered to 2 cores while 4 are in use | 6     | 0        |
      | blue's quota is raised to 12 cores                    | 6     | 6        |
      | blue is removed from the configuration                | 6     | 6        |

  # Guards against a successor that does not count what its predecessor started.
  Scenario Outline: What a successor counts before it has polled every runner
    Given the account blue with a quota of 8 cores, and a successor that cannot reach w3
    And <before>
    When blue submits 6 tasks of 2 cores
    Then <starting> of them start
    When w3 <then> and is polled
    Then <more> of them start

    Examples:
      | before                                                     | starting | then                  | more |
      | a job of blue of 2 tasks of 2 cores may run on w3          | 2        | runs one of its tasks | 2    |
      | a job of blue of 2 tasks of 2 cores may run on w3          | 2        | runs none of them     | 2    |
      | a job of red of 2 tasks of 2 cores may run on w3           | 4        | runs none of them     | 4    |
      | a job of blue of 8 tasks of 8 cores may run on w3          | 0        | runs one of its tasks | 0    |
      | a job of blue that may run on w3 with 4 cores is cancelled | 2        | runs none of them     | 4    |
      | a cancelled job of blue has 4 cores left on w3             | 2        | runs none of them     | 4    |
      | a cancelled job of blue had 4 cores left on w3 long ago    | 4        | runs none of them     | 4    |

  # Guards against counting more for an unseen runner than it can hold.
  Scenario: A job demands more than the unseen runner on which it may run can hold
    Given the account blue with a quota of 50 cores, and a successor that cannot reach w3
    And a job of blue of 30 tasks of 2 cores may run on w3
    When blue submits 6 tasks of 2 cores
    Then 6 of them start

  # Guards against a second successor that does not count what may be left on an unseen runner.
  Scenario: What a cancelled job may have left on an unseen runner is stored with its end
    Given the account blue with a quota of 8 cores, and a successor that cannot reach w3
    When a job of blue that may run on w3 with 4 cores is cancelled
    Then its end is stored with 4 cores that may be left on w3

  # Guards against runs of a cancelled job that are no longer counted once their runner is polled.
  Scenario: A run of a cancelled job is still on its runner
    Given the account blue with a quota of 8 cores, and a successor that cannot reach w3
    And a cancelled job of blue has 4 cores left on w3
    When w3 is polled and lists a run of that job
    And blue submits 6 tasks of 2 cores
    Then 2 of them start
    When the run is stopped
    Then 4 of them start

  # Guards against starting a part of a gang when its account's quota does not suffice for all of it.
  Scenario Outline: A gang and its account's quota
    Given the account blue with a quota of 8 cores, and 32 cores free
    And a task of blue of <used> cores runs
    When blue submits a gang of 3 tasks of 2 cores
    Then <starting> of them start

    Examples:
      | used | starting |
      | 2    | 3        |
      | 4    | 0        |

  # Guards against single tasks of an account that keep its gang waiting forever.
  Scenario Outline: Single tasks keep arriving while a gang waits for the quota
    Given the account blue with a quota of 8 cores, and 32 cores free
    When a gang of 3 tasks of 2 cores waits while <kind> tasks of blue keep arriving
    Then the gang starts within 30 s
    And tasks of red start in the meantime

    Examples:
      | kind        |
      | urgent      |
      | less urgent |

  # Guards against gangs of one account that block its quota for each other.
  Scenario: Several gangs of an account wait for its quota
    Given the account blue with a quota of 8 cores, and 32 cores free
    When gangs of 3 tasks of 2 cores keep arriving, the newest ones the most urgent
    Then one of them runs at all times, and all have started in the end

  # Guards against a gang that blocks its account although there are no slots for the gang.
  Scenario: A gang that finds no slots although its account has the quota
    Given the account blue with a quota of 8 cores, and 4 cores free
    When a gang of 3 tasks of 2 cores waits while urgent tasks of blue arrive for 60 s
    Then urgent tasks of blue start in at least 50 of these seconds

  # Guards against gangs that each block their account although the quota suffices for its tasks.
  Scenario Outline: Many gangs wait longest while the quota has become free
    Given the account blue with a quota of 8 cores, and 32 cores free
    When its quota is in use for 21 s while 6 gangs of 3 tasks of 2 cores wait for a missing label
    Then <kind> tasks of blue start in at least <seconds> of the next 60 seconds

    Examples:
      | kind        | seconds |
      | urgent      | 60      |
      | less urgent | 55      |

  # Guards against a gang that no longer fits its quota and blocks its account.
  Scenario: A quota is lowered below what a waiting gang needs
    Given the account blue with a quota of 8 cores, and 32 cores free
    When a gang of 3 tasks of 2 cores waits for a quota that is lowered to 4 cores
    Then urgent tasks of blue start every second, and the gang does not

  # Guards against an account that waits forever, with free capacity and quota, for a gang that
  # cannot start.
  Scenario Outline: A gang of an account waits for a quota that cannot become free for it
    Given a successor finds a <kind> task of blue of <kept> cores, and a quota of 12 cores
    When a gang of 3 tasks of 2 cores waits for the quota, and <cause>
    Then urgent tasks of blue start every second, and the gang does not

    Examples:
      | kind         | kept | cause                                        |
      | long-running | 10   | the long-running task goes on                |
      | short        | 10   | the short task hangs                         |
      | long-running | 4    | the runners of the gang's service are silent |

  # Guards against an account that submits many times its usual load and delays others.
  Scenario: One account sends nine times its rate
    Given the accounts blue and red with a rate of 5 jobs a second each, and 8 cores
    When blue submits 45 urgent jobs and then red 5, each of 1 core for 0.5 s
    Then all jobs of red are among the first 10 to start
    And all 50 jobs have started after 3 s

  # Guards against jobs beyond a rate that never run while others keep the cell full.
  Scenario: Jobs beyond the rate do not wait forever
    Given the accounts blue and red with a rate of 5 jobs a second each, and 8 cores
    When blue submits 45 urgent jobs while red keeps the cell full for 80 s
    Then all jobs of blue have started

  # Guards against a token bucket that is refilled twice by jobs accepted out of order.
  Scenario Outline: Jobs within an account's rate
    Given an account with a rate of 2 jobs a second
    When jobs are accepted at <seconds>
    Then those at <within> are within its rate

    Examples:
      | seconds     | within    |
      | 0 0 0 0     | 0 0       |
      | 0 0 0.5 1 1 | 0 0 0.5 1 |
      | 5 5 4 5 4   | 5 5       |
      | 0 9 9 9     | 0 9 9     |

  # Guards against an objective that no schedule can meet under the quota.
  Scenario Outline: The objective of a job that is wider than its account's quota
    Given the account blue with a quota of 8 cores, and 32 cores free
    When blue submits a step of <count> <kind> of 2 cores that take 1 s
    Then its objective counts <waves> waves

    Examples:
      | count | kind         | waves |
      | 4     | tasks        | 1     |
      | 5     | tasks        | 2     |
      | 16    | tasks        | 4     |
      | 4     | gang members | 1     |

  # Guards against orders of events in which a start exceeds a quota.
  Scenario: No sequence of events brings an account over its quota
    Then random sequences of starts, ends, lost answers, stops and changes keep every quota
