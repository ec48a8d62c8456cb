Feature: Runs that are lost with their runner

  # Guards against counting silence as a crash.
  Scenario Outline: What proves that a runner has crashed
    Given an owner with a task that runs on w1
    When <seen>
    Then the task waits with <count> crashes

    Examples:
      | seen                                                               | count |
      | another incarnation answers at w1's address                        | 1     |
      | the leases on w1 expire                                            | 0     |
      | the leases on w1 expire, then w1 answers                           | 0     |
      | the leases on w1 expire, then another incarnation answers          | 1     |
      | the leases on w1 expire, then another incarnation is listed        | 0     |
      | w1 announces a drain, then another incarnation answers             | 0     |
      | w1 announces a drain as its entry is removed, then another answers | 0     |

  # Guards against counting a crash for a run that never reached the runner.
  Scenario Outline: Which runs a runner crash is counted for
    Given an owner with a task whose start on w1 <became>
    When another incarnation answers at w1's address
    Then the task waits with <count> crashes, <during start> of them during its start

    Examples:
      | became                              | count | during start |
      | waits for the store                 | 0     | 0            |
      | was sent and is still unanswered    | 0     | 0            |
      | broke its connection                | 1     | 1            |
      | timed out                           | 1     | 0            |
      | was answered                        | 1     | 0            |
      | was answered, and a stop is pending | 1     | 0            |
      | was answered 30 s before            | 0     | 0            |

  Scenario: A crash seen by several exchanges
    Given an owner with a task that runs on w1
    When another incarnation answers at w1's address, to a poll, a start and a stop
    Then the task waits with 1 crashes

  Scenario Outline: When a task is no longer retried
    Given an owner with a task during whose runs <before>
    When another incarnation answers at w1's address
    Then its job is reported as <state>

    Examples:
      | before                                                                           | state   |
      | nothing has crashed, and that runs on w1                                         | running |
      | nothing has crashed, and that is proven to crash w1                              | running |
      | 1 runner crashed, and that runs on w1                                            | running |
      | 1 runner crashed, and that broke w1's connection                                 | running |
      | 1 runner crashed at its start, and that runs on w1                               | running |
      | 1 runner crashed, 1 of them proven, and that runs on w1                          | running |
      | 1 runner crashed, 1 of them proven, and is proven to crash w1                    | failed  |
      | 3 runners crashed, and that is proven to crash w1                                | running |
      | 3 runners crashed, 1 of them proven, and that runs on w1                         | running |
      | 4 runners crashed, and that is proven to crash w1                                | running |
      | 3 runners crashed at its start, and that is proven to crash w1                   | running |
      | 4 runners crashed at its start, and that is proven to crash w1                   | failed  |
      | 4 runners crashed, 1 of them proven, and that runs on w1                         | running |
      | 4 runners crashed at its start, 1 of them proven, and that broke w1's connection | failed  |
      | 4 runners crashed at its start, 1 of them proven, and that runs on w1            | running |
      | 4 runners crashed, 1 of them proven, and ran on w1 for 30 s                      | running |

  # Guards against convicting a task for a crash that it has no part in.
  Scenario Outline: What proves that a start has crashed its runner
    Given an owner with a start on w1 that breaks its connection right after an answer
    When it is seen that <then>, and then that w1 has ended
    Then <proven> crashes of the task are proven

    Examples:
      | then                                 | proven |
      | nothing else happens                 | 1      |
      | the leases on w1 expire              | 1      |
      | w1 answers a poll                    | 0      |
      | w1 answers another start             | 0      |
      | the start is confirmed by a repeat   | 0      |
      | another start was pending on w1      | 0      |
      | another task of its job was starting | 1      |
      | w2 is lost too, without a start      | 0      |
      | w2 is lost later, without a start    | 0      |
      | w2 is lost too, with a start         | 1      |

  # Guards against proofs that are lost with the owner, and against rows of earlier builds as proofs.
  Scenario Outline: A successor relies on stored proofs only
    Given a crash that an owner has stored <how>
    Then a successor counts it with <proven> proofs

    Examples:
      | how                         | proven |
      | as earlier builds do        | 0      |
      | without a proof             | 0      |
      | with a proof of another run | 0      |
      | with a proof                | 1      |

  # Guards against a record that outgrows what the store takes.
  Scenario: Runners are lost under each of many tasks
    Given a job of 2000 tasks, each with 5 lost runs and one task with a proof
    Then the record of its crashes has under 100000 bytes, and still the proof

  # Guards against records that grow with every runner that is lost.
  Scenario: Many runners are lost by chance
    Given an owner with a task during whose runs 1 runner crashed, 1 of them proven, and that runs on w1
    When 100 more runners are lost during the runs of a task that is long-lived
    Then 5 rows are stored for the task, 1 of them proven
    And none once the task is done

  # Guards against giving up jobs whose tasks crash no runner: only runs that end failed are attempts.
  Scenario Outline: Runners that are lost by chance end no job
    Given an owner with a task <lasting> during whose runs <before>
    When another incarnation answers at w1's address
    Then its job is reported as running

    Examples:
      | lasting            | before                                                          |
      | that ends          | 2 runners crashed, and that runs on w1                          |
      | that ends          | 9 runners crashed, and that runs on w1                          |
      | that ends          | 1 runner crashed at its start, and that broke w1's connection   |
      | that ends          | 4 runners crashed at its start, and that broke w1's connection  |
      | that is long-lived | 2 runners crashed, and that runs on w1                          |
      | that is long-lived | 4 runners crashed at its start, and that broke w1's connection  |
      | that is long-lived | 4 runners crashed, 4 of them proven, and is proven to crash w1  |

  # Guards against blaming a start for a process that had ended before it was sent.
  Scenario: Starts are sent on connections to processes that have ended
    Given an owner with a decided start on w1
    When the process had ended before, and so has that of the next runner
    Then its job is reported as queued

  Scenario Outline: A finished job keeps its state
    Given an owner with a task during whose runs 1 runner crashed, 1 of them proven, and is proven to crash w1
    When its job is <over>, and another incarnation answers at w1's address
    Then its job is reported as <over>

    Examples:
      | over      |
      | cancelled |
      | completed |

  # Guards against starting tasks that are suspected of crashing runners beside other tasks.
  Scenario: Quarantined tasks start alone, on runners with the least other work
    Given an owner with 3 runners, of which w1 and w2 have work
    When two tasks break the connection of a fourth runner, which then restarts
    Then one of them starts on the empty runner, and nothing else starts there
    And the other one starts on another runner
    And half a second later other tasks start beside them

  # The owner is lost between a start and the crash, or before the crash is recorded.
  Scenario Outline: What a successor knows of crashes
    Given a successor of an owner that had stored <stored>
    When it finds that another incarnation answers at w1's address
    Then it counts <count> crashes for the task
    And it stores the next start before it is sent

    Examples:
      | stored                                     | count |
      | the runner of a first start                | 0     |
      | a quarantined start on w1                  | 2     |
      | a quarantined start on w1, already counted | 1     |
      | a quarantined start on w2                  | 1     |

  Scenario Outline: A successor that never reaches the runner of a quarantined task
    Given a successor of an owner that had stored a quarantined start on w1
    When the leases on w1 must have expired and its entry <entry>
    Then it counts <count> crashes for the task

    Examples:
      | entry      | count |
      | is removed | 2     |
      | is listed  | 1     |

  Scenario: A first start is not stored individually
    Given an owner with a task whose runner is stored
    Then its start is sent without another append

  # Guards against sending a start to a runner that became silent after it was decided.
  Scenario: A runner becomes silent while a start waits for the store
    Given an owner with a decided start on w1
    When w1 becomes silent before the start is sent
    Then no start is sent to w1, and the task waits

  # Guards against adopting runs from a late answer of an incarnation that has ended.
  Scenario: An answer of an ended incarnation arrives late
    Given an owner with a task that runs on w1
    When a poll of w1 is answered after another incarnation was found there
    Then the task waits with 1 crashes

  Scenario: A runner's connection breaks
    Given an owner that polls w1
    When the connection of the poll breaks
    Then nothing is placed on w1 until a poll is answered

  # Guards against a successor that starts anew with a task that crashes its runners.
  Scenario Outline: Odds of crashes that an owner has stored
    Given a task with 2 crashes whose odds are 0.01, stored <how>
    When a successor counts one more
    Then its job is reported as <state>

    Examples:
      | how                    | state   |
      | with their odds        | failed  |
      | as earlier builds do   | running |
      | after another was lost | running |
