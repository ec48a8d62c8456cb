Feature: Which process a runner's id means

  # Guards against acting on a process that started after the one that was meant.
  Scenario Outline: A call for a runner that has restarted under its id
    Given a runner that has run a task, known by its entry
    When it restarts, runs another task to its end, and <call> is sent for the former process
    Then the caller is told that the runner was replaced
    And the new process has started, stopped, renewed and forgotten nothing

    Examples:
      | call                                  |
      | a start                               |
      | a stop                                |
      | a look that acknowledges ten ends     |
      | a start on a connection opened before |
      | a look on a connection opened before  |

  Scenario: A call for the process that is registered now
    Given a runner that has run a task, known by its entry
    When it restarts, registers, and a start is sent by its new entry
    Then the start is answered, and the new process has run it

  # Guards against counting a start as sent when only the check of its connection was.
  Scenario: A runner falls silent before it tells its incarnation
    Given a runner that has run a task, known by its entry
    When it is out of reach, and a start is sent
    Then the caller is told that it did not run

  Scenario Outline: An answer that does not tell the incarnation
    Given a runner that has run a task, known by its entry
    When it <does>, and <call> is sent
    Then the caller is told that the runner gave no usable answer, and that it did not run

    Examples:
      | does                         | call    |
      | stops telling incarnations   | a look  |
      | stops telling incarnations   | a start |
      | answers with unreadable rows | a start |
      | answers with half a document | a start |

  Scenario Outline: Entries under one id
    Given a host that knows i-1 by <first>
    When <second> of i-1 follows
    Then the host lists <known>

    Examples:
      | first                | second                         | known                         |
      | an entry             | an entry                       | i-1                           |
      | an entry             | an entry born at 7             | i-1@7                         |
      | an entry born at 7   | an entry born at 7             | i-1@7                         |
      | an entry born at 7   | an entry born at 9             | i-1@9                         |
      | an entry born at 9   | an entry born at 7             | i-1@7                         |
      | an entry born at 7   | an entry                       | i-1@7, which gets nothing new |
      | an entry born at 7   | an entry born at null          | i-1@7, which gets nothing new |
      | an entry born at 7   | an entry born at "8"           | i-1@7, which gets nothing new |
      | an entry born at 7   | an entry born at 8.5           | i-1@7, which gets nothing new |
      | an entry born at 7   | an entry born at 0             | i-1@7, which gets nothing new |
      | an entry born at 7   | an entry born at true          | i-1@7, which gets nothing new |
      | an entry born at 7   | an entry born at 7 elsewhere   | i-1@7, which gets nothing new |
      | an entry born at 7   | an entry born at 9 elsewhere   | i-1@9                         |
      | an entry born at 7   | no entry any more              | nothing                       |

  Scenario: A former incarnation is remembered as gone
    Given a host that knows i-1 by an entry born at 7
    When an entry born at 9 of i-1 follows
    Then i-1@7 is known as gone, where it was

  # Guards against starting a task again that an incarnation runs which was only seen late.
  Scenario Outline: What proves to a successor that an incarnation is over
    Given a successor that has not seen i-1@7, on which a task may run
    When <seen>
    Then the task <state>, with <count> crashes

    Examples:
      | seen                      | state         | count |
      | an entry of i-1@9 is read | is left alone | 0     |
      | i-1@9 has answered        | may start     | 1     |
      | i-1@5 has answered        | is left alone | 0     |
      | i-2@9 has answered        | is left alone | 0     |
      | i-1 has answered          | is left alone | 0     |

  # Guards against taking the tasks of a former process for those of the one that answers.
  Scenario Outline: A worker of the product's own interface restarts
    Given an owner that has listed a worker with one task, at revision 1
    When the worker restarts within <seconds> s, starts another task and is watched twice
    Then the other task is held, and the one that it ran before is not

    Examples:
      | seconds |
      | 0.1     |
      | 3       |

  Scenario: A worker has nothing new
    Given an owner that has listed a worker with one task, at revision 1
    When it is watched twice without a change
    Then its tasks were listed in full only once

  # Guards against ids that name another runner once they are read back.
  Scenario: Ids of incarnations and runners
    Given any runner's id and any start
    Then the incarnation's id gives the runner's id back, and differs for each start

  # Guards against an owner that stops at a name in the store which is no incarnation's.
  Scenario: Names that are no incarnation's
    Given any names in the store
    Then none of them is taken for later than another by anything but its start

  Scenario: The policy service is asked by runners and answers for incarnations
    Given a policy service that allows every runner that it is asked about
    When it is asked about i-1@7 and i-2
    Then it was asked about i-1 and i-2, and permits i-1@7 and i-2
