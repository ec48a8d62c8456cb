Feature: Incarnations of runners that share an id

  # Guards against executing a call on a later process than the intended one.
  Scenario Outline: A call to a runner that has restarted under the same id
    Given a runner that has run a task and is known from its entry
    When it restarts, runs another task to its end, and <call> intended for the former process is sent
    Then the caller learns that the runner was replaced
    And the new process has started, stopped, renewed and acknowledged nothing

    Examples:
      | call                                  |
      | a start                               |
      | a stop                                |
      | a poll that acknowledges ten ends     |
      | a start on a connection opened before |
      | a poll on a connection opened before  |

  Scenario: A call to the registered process
    Given a runner that has run a task and is known from its entry
    When it restarts, registers, and a start is sent to the address in its new entry
    Then the start is answered, and the new process has run it

  # Guards against counting a start as sent when only the check of its connection was sent.
  Scenario: A runner stops answering before it reports its incarnation
    Given a runner that has run a task and is known from its entry
    When it does not answer, and a start is sent
    Then the caller learns that the start was not executed

  Scenario Outline: An answer without the incarnation
    Given a runner that has run a task and is known from its entry
    When it <behavior>, and <call> is sent
    Then the caller learns that the answer was invalid and that nothing was executed

    Examples:
      | behavior                     | call    |
      | stops reporting incarnations | a poll  |
      | stops reporting incarnations | a start |
      | answers with unreadable rows | a start |
      | answers with half a document | a start |

  Scenario Outline: Entries with the same id
    Given a host that knows i-1 from <first>
    When <second> of i-1 follows
    Then the host lists <known>

    Examples:
      | first              | second                       | known                         |
      | an entry           | an entry                     | i-1                           |
      | an entry           | an entry born at 7           | i-1@7                         |
      | an entry born at 7 | an entry born at 7           | i-1@7                         |
      | an entry born at 7 | an entry born at 9           | i-1@9                         |
      | an entry born at 9 | an entry born at 7           | i-1@7                         |
      | an entry born at 7 | an entry                     | i-1@7, which gets no new task |
      | an entry born at 7 | an entry born at null        | i-1@7, which gets no new task |
      | an entry born at 7 | an entry born at "8"         | i-1@7, which gets no new task |
      | an entry born at 7 | an entry born at 8.5         | i-1@7, which gets no new task |
      | an entry born at 7 | an entry born at 0           | i-1@7, which gets no new task |
      | an entry born at 7 | an entry born at true        | i-1@7, which gets no new task |
      | an entry born at 7 | an entry born at 7 elsewhere | i-1@7, which gets no new task |
      | an entry born at 7 | an entry born at 9 elsewhere | i-1@9                         |
      | an entry born at 7 | no entry any more            | nothing                       |

  Scenario: A former incarnation is remembered as removed
    Given a host that knows i-1 from an entry born at 7
    When an entry born at 9 of i-1 follows
    Then i-1@7 is known as removed, with its address

  # Guards against starting a task again that still runs on an incarnation that is polled late.
  Scenario Outline: What proves to a successor that an incarnation has ended
    Given a successor that has not polled i-1@7, on which a task may run
    When <seen>
    Then the task <state>, with <count> crashes

    Examples:
      | seen                      | state          | count |
      | an entry of i-1@9 is read | is not started | 0     |
      | i-1@9 has answered        | may start      | 1     |
      | i-1@5 has answered        | is not started | 0     |
      | i-2@9 has answered        | is not started | 0     |
      | i-1 has answered          | is not started | 0     |

  # Guards against taking a process that was gone, or a silent one, for one that a start has crashed.
  Scenario Outline: What is known of a runner that breaks the connection of a start
    Given a runner that has run a task and is known from its entry
    When <what> on an open connection, by a start that <checks> the runner first
    Then the start <sent>, and the runner <lived> when it was sent

    Examples:
      | what                          | checks        | sent            | lived               |
      | its process has ended         | checks        | was not sent    | is not known to live |
      | its process has ended         | does not check | may have arrived | is not known to live |
      | its process is crashed        | checks        | may have arrived | lived               |
      | its process is crashed        | does not check | may have arrived | is not known to live |
      | the start is never answered   | checks        | may have arrived | is not known to live |
      | the check is never answered   | checks        | was not sent    | is not known to live |

  # Guards against taking a network cut for the end of a runner's process.
  Scenario Outline: Errors of the kernel while an answer is awaited
    Given a connection on which the kernel reports <error> to a request
    Then its peer <was>

    Examples:
      | error        | was                   |
      | ECONNRESET   | has broken it         |
      | EPIPE        | has broken it         |
      | ETIMEDOUT    | was silent            |
      | EHOSTUNREACH | was silent            |
      | ENETUNREACH  | was silent            |

  # Guards against treating tasks of a former process as tasks of the process that answers.
  Scenario Outline: A worker with the native worker API restarts
    Given an owner that has listed a worker with one task, at revision 1
    When the worker restarts within <seconds> s, starts another task and is polled twice
    Then only the task of the new process is in the worker's ledger

    Examples:
      | seconds |
      | 0.1     |
      | 3       |

  Scenario: The tasks of a worker do not change
    Given an owner that has listed a worker with one task, at revision 1
    When it is polled twice without a change
    Then its tasks were listed in full only once

  # Guards against incarnation ids from which another runner's id is decoded.
  Scenario: Ids of incarnations and runners
    Given any runner's id and any start
    Then the incarnation's id gives the runner's id back, and differs for each start

  # Guards against an owner that fails on a name in the store that is not an incarnation id.
  Scenario: Names that are not incarnation ids
    Given any names in the store
    Then a name counts as a later incarnation of another only because of its start time

  Scenario: The policy service knows runners, and its permits are for incarnations
    Given a policy service that allows every runner that it is asked about
    When it is asked about i-1@7 and i-2
    Then it was asked about i-1 and i-2, and permits i-1@7 and i-2

  # Guards against an old answer as the proof that a process was alive when a start was sent.
  Scenario: An owner is paused between its check of a runner and the start
    Given a runner whose process ends 0.1 s after it has answered a check
    When an owner is paused for 0.5 s between the check and the start
    Then the start may have arrived, and nothing is known of the process at that time
