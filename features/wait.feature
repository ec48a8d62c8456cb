Feature: How long a successor waits for the leases of earlier owners

  # Each scenario here fails on a change of the code that no scenario of succession.feature detects.
  Scenario Outline: A job on a runner that only the previous owner reaches
    Given a store with an owner whose record <says> when its leases end, and its job on w9
    When a host that has never heard from it owns the cell
    Then that job stays blocked for all <seconds> s, and not for longer

    Examples:
      | says         | seconds |
      | does not say | 17.7    |
      | says         | 11.3    |

  # Guards against a lease that outlasts what the owner's record says of it.
  Scenario Outline: The leases that an owner grants while the store does not answer
    Given an owner whose latest answered append is <age> s old
    And a runner whose clock is 2% slow, read by it <reading> s ago
    When the owner grants a lease there
    Then the lease ends by when the owner's record says, and lasts <lease> s

    Examples:
      | age | reading | lease |
      | 0   | 0       | 8.5   |
      | 2.5 | 2.2     | 8.5   |
      | 4   | 0       | 7     |
      | 8.9 | 0       | 2.1   |
      | 8.9 | 2.2     | 2.1   |
      | 8.9 | 8.9     | 1.966 |

  # Guards against a claim that announces too short a wait.
  Scenario Outline: The wait for earlier owners' leases that a claim announces
    Given a former owner whose record <says> when its leases end
    When a host claims the cell
    Then the wait that its claim announces is <seconds> s

    Examples:
      | says                                     | seconds |
      | does not say                             | 17.8    |
      | says                                     | 11.3    |
      | says, after one for which 15 s were left | 15      |

  Scenario: No proof that the previous owner has ended
    Given a wait for an owner that was heard from just now
    When its successor checks for proof that it has ended and finds none
    Then the wait is as long as before

  Scenario: A host that has to read a snapshot again
    Given a host that has long known the owner
    When it reads a snapshot with a later heartbeat of that owner
    Then the owner counts as heard from just now

  # Guards against a wait for leases that starts anew with each owner: a job may be without a run for
  # 14 s (finish_s).
  Scenario Outline: Owners follow one another while a runner does not answer
    Given an owner that was lost, with a job on w9, which does not answer
    When <count> owners follow it, each of which is lost after <seconds> s
    Then the job on w9 waits until the leases of the lost owner have expired
    And it can start within 14 s after the loss

    Examples:
      | count | seconds |
      | 0     | 0       |
      | 1     | 1.5     |
      | 2     | 3.3     |
      | 1     | 9       |

  # Guards against a wait that starts anew although all leases on the runner have expired.
  Scenario: A runner does not answer throughout the term of an owner
    Given an owner that was lost, with a job on w9, which does not answer
    When an owner follows it for 20 s
    Then that job can start, also once another owner has claimed the cell

  # Guards against tasks that run twice because an owner between two others has granted leases and
  # stored nothing.
  Scenario: An owner between two others has only stored its claim
    Given an owner that was lost, with a job on w9, which does not answer
    When an owner follows it for 3 s, and two claims follow each other at once
    Then it waits for all leases that an owner between them may have granted

  # Guards against tasks that run twice because an owner grants leases on a runner that its successor
  # does not wait for.
  Scenario: A runner answers an owner after the store has named it as unreached
    Given an owner that was lost, with a job on w9, which does not answer
    When an owner follows it for 3 s, and w9 then answers
    Then it grants no lease on w9 before the store names w9 no longer
    And a task is started there only from then on
    And the owner after it waits for all leases of it

  # Guards against tasks that run twice because a runner without a lease of its owner counts as one
  # on which all leases have expired.
  Scenario: A runner answers an owner once before it may have a lease
    Given an owner that was lost, with a job on w9, which does not answer
    When an owner follows it for 1.5 s, and w9 answers one poll, with the run of the job
    Then that run counts as running while w9 answers no more
