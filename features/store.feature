Feature: Records in the store, with lost answers and late appends

  # Guards against reporting a submission as refused that may have been stored.
  Scenario Outline: The outcome of a submission
    Given a store whose appends <faults>
    When a submission is written
    Then it is <outcome>

    Examples:
      | faults             | outcome |
      | succeed            | stored  |
      | refuse once        | stored  |
      | refuse always      | refused |
      | lose once          | stored  |
      | lose, then refuse  | unknown |
      | stay silent always | unknown |

  # Guards against the load of all hosts reading the entries of all runners.
  Scenario Outline: Which hosts follow the list of runners
    Given a host that is number <place> of <count> in the claim order
    Then the list of runners is <read>

    Examples:
      | place | count | read     |
      | 1     | 97    | read     |
      | 9     | 97    | read     |
      | 10    | 97    | not read |
      | 8     | 8     | read     |

  # Guards against a new owner that does not know the runners of cancelled jobs.
  Scenario: A host that does not know its place in the claim order yet
    Given a host that is not a member yet
    Then the list of runners is read

  Scenario: A host that did not follow the list of runners owns the cell
    Given a follower of a topic that is not needed
    Then nothing is read
    When it becomes needed and is told to read at once
    Then it knows the newest records after one snapshot

  # Guards against a host with a slow link that never catches up.
  Scenario: A host behind a slow link catches up
    Given a follower that has 1 MB to read, and a link that delivers 0.3 MB in time
    When it follows
    Then it knows the newest record after 16 reads at most

  # Guards against appending records of a job that a newer record replaces.
  Scenario: Many records of one job during an append
    Given a writer that is given 20 successive records of a job during an append
    Then the store has executed one more append, of the newest record only
    And each of the 20 is reported as stored

  # Guards against an unknown outcome for a client whose job waits for a failing append.
  Scenario: A job is submitted while an earlier append is retried
    Given an owner whose heartbeat the store refuses for 2 s
    When a job with a timeout of 0.3 s is submitted
    Then its write is refused within 1 s
    And the store never contains it

  # Guards against a late append of a previous owner that overwrites its successor's.
  Scenario: A late append of a previous owner
    Given an owner whose last append is late
    When a successor has written and the late append is executed
    Then the store holds what the successor wrote

  Scenario: An owner whose answer was lost repeats its append without harm
    Given an owner whose append lost its answer
    When it writes again
    Then every record is in the store once

  # Guards against two owners of one epoch.
  Scenario: Two hosts claim at the same moment
    Given two hosts that have read a store without an owner
    When both claim
    Then one of them owns the cell

  # Guards against claiming the cell from an owner that lives when the store is available again.
  Scenario: The store is available again
    Given a host that follows an owner while the store is down for 5 s
    When the store is available again
    Then the host does not claim at once

  Scenario: A host that is told of a failing owner claims at once
    Given a host that follows an owner
    When the owner asks for a successor
    Then the host owns the cell with the next epoch

  # Guards against one unreadable record that stops the reading of the store.
  Scenario: A record that cannot be read
    Given a host that reads a record in an unknown format
    When a job is stored after it
    Then the host knows the job

  # Guards against claims whose condition is never met while jobs are submitted.
  Scenario: A claim while jobs are submitted
    Given a host that follows an owner
    And a job is stored right before each of the next 9 appends
    When the owner asks for a successor
    Then the host owns the cell with epoch 3
    And 2 appends were made

  Scenario: A claim of a released cell while jobs are submitted
    Given a host that follows an owner that has released the cell
    And a job is stored right before each of the next 9 appends
    When it claims
    Then the host owns the cell with epoch 2
    And 1 appends were made

  # Guards against replacing a new owner whose claim was not read yet.
  Scenario: Two hosts claim a released cell, and one reads late
    Given a host that follows an owner that has released the cell
    And another host has claimed it, which this host reads 0.8 s late
    When it claims until then
    Then the other host owns the cell, and 1 appends were made

  # Guards against a small host that keeps the cell, and against handing it to an unready host.
  Scenario Outline: A small host that owns the cell
    Given a host of <cores> cores that owns the cell
    And a host of <others> cores that <answers>
    When <seconds> s have passed since its claim
    Then it <acts>

    Examples:
      | cores | others | answers         | seconds | acts              |
      | 0.5   | 2.0    | is ready        | 2       | releases the cell |
      | 0.5   | 2.0    | is ready        | 1       | keeps the cell    |
      | 0.5   | 2.0    | is not ready    | 2       | keeps the cell    |
      | 0.5   | 2.0    | does not answer | 2       | keeps the cell    |
      | 0.5   | 0.5    | is ready        | 2       | keeps the cell    |
      | 1.1   | 2.0    | is ready        | 2       | keeps the cell    |

  Scenario Outline: An owner whose heartbeats are missed is asked
    Given a host that follows an owner whose heartbeats are missed
    When the owner answers that it <word>
    Then the host <claims> the cell

    Examples:
      | word  | claims         |
      | acts  | does not claim |
      | ended | claims         |

  # Guards against the load of all hosts of a zone appending to a slow store.
  Scenario Outline: Which host writes for a zone
    Given the hosts n-large, n-1, n-2, s-large, s-1
    Then <me> has its clients' jobs written by <writer>, with <excluded> unreachable

    Examples:
      | me      | writer  | excluded |
      | n-2     | n-large | nobody   |
      | n-2     | n-1     | n-large  |
      | n-large | itself  | nobody   |
      | s-1     | s-large | nobody   |
      | s-1     | itself  | s-large  |

  Scenario: Hosts claim one after the other, the largest first
    Given the hosts n-1, s-1, n-large, s-large
    Then after the owner n-large they claim in the order s-large, n-1, s-1

  # Guards against a starting host that reads many records of finished jobs.
  Scenario Outline: Records of a finished job that remain in the store
    Given a job of which the store has <records>
    When its owner stores that it is <state>
    Then a host that starts now reads 1 record and shows it as <state>

    Examples:
      | records                             | state     |
      | the submission                      | completed |
      | the submission                      | failed    |
      | the submission and its cancellation | cancelled |

  Scenario: A repeated submission does not restart a finished job
    Given a job of which the store has the submission
    When its owner stores that it is completed
    And a late repetition of the submission is appended
    Then a host that starts now reads 2 record and shows it as completed

  # Guards against reading on from an offset that the store does not have any more.
  Scenario: A follower whose offset has expired
    Given a follower that is behind
    When the records that it has not read have expired
    Then it knows the content of the newest records

  # Guards against an owner that starts nothing while a read waits for new records.
  Scenario: The first read after a snapshot
    Given a follower whose reads wait up to 20 s for records of an idle topic
    When it has reached the end of the topic
    Then its first read did not wait

  Scenario: A late heartbeat does not reinstate an older owner
    Given the claims of the epochs 1 and 2, and a late heartbeat of epoch 1
    Then the owner is that of epoch 2

  # Guards against relying on a peer with an outdated configuration.
  Scenario Outline: How a peer's answer to a forwarded request is used
    Given a peer that answers <status>
    When a request is forwarded to it
    Then the client <outcome>

    Examples:
      | status | outcome                             |
      | 200    | gets that answer                    |
      | 410    | gets that answer                    |
      | 404    | is served locally                   |
      | 503    | is served locally                   |
      | 504    | is told that the outcome is unknown |

  # Guards against forwarding a job to a peer that cannot act on it.
  Scenario Outline: A job is only forwarded to a peer that confirms that it can act
    Given an owner that <answers> when it is asked whether it acts
    When a request is forwarded to it
    Then no job was forwarded to it
    And the client is served locally

    Examples:
      | answers         |
      | does not answer |
      | denies it       |

  # Guards against refusing the first jobs of a cell, whose peers cannot act for others yet.
  Scenario Outline: A job is submitted before the cell has an owner
    Given a host that read the store <age> s ago, <owner>, and whose peers cannot act
    When a client submits a job to it
    Then its own writer appended <count> records
    And the submission is answered <status>

    Examples:
      | age  | owner            | count | status |
      | 0.2  | knows no owner   | 1     | 200    |
      | 1.25 | knows no owner   | 1     | 200    |
      | 1.25 | knows an owner   | 0     | 503    |

  # Guards against forwarding no jobs to an owner because one answer was late.
  Scenario: One late answer does not stop the forwarding of jobs
    Given a peer that answers 200
    And it does not answer the next request
    When a host asks it for a state and gets no answer in 0.1 s
    And a request is forwarded to it
    Then the client gets that answer

  # Guards against querying an unresponsive peer too often.
  Scenario Outline: When an unresponsive peer is queried again
    Given a peer that has not answered <misses> requests in a row
    When <seconds> s later a request arrives
    Then the peer <fate>

    Examples:
      | misses | seconds | fate       |
      | 1      | 1.4     | is skipped |
      | 1      | 1.6     | is queried |
      | 2      | 2.9     | is skipped |
      | 2      | 3.1     | is queried |
      | 9      | 4.1     | is queried |
      | 1100   | 4.1     | is queried |

  # Guards against an old owner that treats leases as expired although its successor renews them.
  Scenario Outline: Leases of a silent runner, at an owner without an answer of the store
    Given a runner whose leases expired 5 s after its last answer
    When the owner's last append was answered <seconds> s after that answer
    Then 7 s after that answer its leases are <state>, and new starts are <starts>

    Examples:
      | seconds | state   | starts    |
      | 1       | valid   | forbidden |
      | 4       | valid   | forbidden |
      | 6       | expired | allowed   |

  # Guards against many starts that are sent into a partition.
  Scenario: A start without an answer blocks further starts
    Given an owner with a runner that does not answer
    When it sends one start there
    Then the runner gets no more starts until it has answered a poll

  # Guards against treating the end of one owner as the end of all earlier ones.
  Scenario Outline: The successor of a killed owner
    Given a former owner that was killed when earlier owners might act for <unsettled> s
    When a host takes over
    Then it starts no tasks of jobs on unseen runners for <wait> s

    Examples:
      | unsettled | wait |
      | 0         | 8.72 |
      | 12        | 12   |

  # Guards against unready hosts that do not notice the return of the store.
  Scenario: A host that writes nothing after an outage
    Given a writer whose appends were refused for a while
    Then the store counts as unreachable
    And 2 s later it counts as reachable

  Scenario Outline: The timeout of an append
    Given answers after <seconds> s and then <misses> timeouts
    Then the next timeout is about <timeout> s

    Examples:
      | seconds | misses | timeout |
      | 0.004   | 0      | 0.3     |
      | 0.004   | 1      | 0.6     |
      | 0.004   | 2      | 0.9     |
      | 0.1     | 0      | 0.8     |
      | 0.1     | 1      | 0.9     |
      | 0.25    | 3      | 0.9     |
