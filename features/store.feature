Feature: What stands in the store, under lost answers and late appends

  # A client was told "not accepted" and did not ask again, but the append whose
  # answer was lost had landed and the job ran. Only a submission of which no
  # append can have taken place may be called refused.
  Scenario Outline: What a client is told about its submission
    Given a store whose appends <faults>
    When a submission is written
    Then it is <outcome>

    Examples:
      | faults                  | outcome |
      | succeed                 | stored  |
      | refuse once             | stored  |
      | refuse always           | refused |
      | lose once               | stored  |
      | lose, then refuse       | unknown |
      | stay silent always      | unknown |

  # 270 runners wrote into the store every 1.5 s, and each of 97 hosts read all of it. At 300
  # hosts the store could not answer any more, and hosts handled a configuration of 5 s ago.
  Scenario Outline: Which hosts keep the list of runners at hand
    Given a host that is number <place> of <count> in the order of claims
    Then the list of runners is <read>

    Examples:
      | place | count | read         |
      | 1     | 97    | read         |
      | 9     | 97    | read         |
      | 10    | 97    | not read     |
      | 8     | 8     | read         |

  # A host was started, and the owner was killed half a second later. The host had not read
  # the list of runners, as it did not yet know its place. The entry of a runner with a task
  # that its client cancelled had gone by then: the task ran on until its lease was over.
  Scenario: A host that does not know its place yet
    Given a host that no other host has heard of
    Then the list of runners is read

  Scenario: A host that did not keep the list of runners owns the cell
    Given a follower of a topic that is not wanted
    Then nothing is read
    When it is wanted and hurried
    Then it knows the newest records at once

  # For 9 s the store turned a host with a 5 Mbit/s link away. When it was back the host asked
  # for all that it had missed, which never came in time, and was sent no clients for 30 s.
  Scenario: A host behind a slow link catches up
    Given a follower that has 1 MB to read, and a link on which 0.3 MB come in time
    When it follows
    Then it knows the newest record after 16 reads at most

  # Twenty tasks of a job ended while an append was under way. Their records went into one
  # append, and every host read twenty of which the last one tells all.
  Scenario: Many ends of one job during an append
    Given a writer to which 20 newer and newer records of a job are given during an append
    Then the store has taken one more append of 1 record, the newest
    And each of the 20 is known to be stored

  # The store was away for 4 s. The owner's heartbeat was tried again all the while, and
  # the jobs that came behind it waited: their clients were told after a second that nobody
  # knows, and could not ask again.
  Scenario: A job comes while an earlier append is tried again and again
    Given an owner whose heartbeat the store refuses for 2 s
    When a job comes that may wait for 0.3 s for its turn
    Then its client is told so within 1 s
    And the store never holds it

  # The former owner's append was under way when it was replaced, and lands
  # after its successor's. It must not overwrite what the successor noted.
  Scenario: A late append of a former owner
    Given an owner whose last append is late
    When a successor has written and the late append lands
    Then the store holds what the successor wrote

  Scenario: An owner whose answer was lost repeats its append without harm
    Given an owner whose append lost its answer
    When it writes again
    Then every record stands in the store once

  # Two hosts miss the owner at the same moment. With two owners of one epoch
  # both would be obeyed by the workers.
  Scenario: Two hosts claim at the same moment
    Given two hosts that have read a store without an owner
    When both claim
    Then one of them owns the cell

  # The store was down for everybody. When it is back, the owner's heartbeats
  # are old, but the owner lives; a claim would only disturb.
  Scenario: The store comes back
    Given a host that follows an owner while the store is down for 5 s
    When the store is back
    Then the host does not claim at once

  Scenario: A host that is told of a failing owner claims at once
    Given a host that follows an owner
    When the owner asks for a successor
    Then the host owns the cell with the next epoch

  # The store turned slow. No heartbeat was seen for a second, though the owner
  # lived and waited for an answer; 35 hosts claimed, their claims filled the
  # store's queue, and for 6 s it refused everything. So the owner is asked first.
  # Hosts of two versions share the store for a while. A record that one of them
  # could not read ended the task that follows the store, and the host went deaf.
  Scenario: A record that cannot be read
    Given a host that reads a record of another version
    When a job is stored behind it
    Then the host knows the job

  # The owner had died while a hundred jobs a second were stored. A claim stood behind the
  # last record that its host had read, and almost always a newer one was there: 6 s passed
  # without an owner. On a slow store, no try of any host met that condition for 3 s.
  Scenario: A claim while jobs keep coming
    Given a host that follows an owner
    And a job is stored right before each of the next 9 appends
    When the owner asks for a successor
    Then the host owns the cell with epoch 3
    And 2 appends were made

  Scenario: A cell that its owner has left while jobs keep coming
    Given a host that follows an owner that has left the cell
    And a job is stored right before each of the next 9 appends
    When it claims
    Then the host owns the cell with epoch 2
    And 1 appends were made

  # A claim needs no condition, so a host that has not read yet who has won may not try
  # again: it would replace the winner, and that one the next.
  Scenario: Two hosts claim a cell that was left, and one reads late
    Given a host that follows an owner that has left the cell
    And another host has claimed it, which this host reads 0.8 s late
    When it claims until then
    Then the other host owns the cell, and 1 appends were made

  # After many hosts had been killed at once, one with half a core claimed first and
  # kept the cell, though larger hosts were back 0.5 s later. Another time the cell was
  # left to a host that had just come out of a cut: it had not read the list of runners
  # yet, and starts fell from 150 a second to 14, then to none for four seconds.
  Scenario Outline: A small host that owns the cell
    Given a host of <cores> cores that owns the cell
    And a host of <others> cores that <answers>
    When <seconds> s have passed since its claim
    Then it <acts>

    Examples:
      | cores | others | answers         | seconds | acts                |
      | 0.5   | 2.0    | is ready        | 2       | leaves the cell     |
      | 0.5   | 2.0    | is ready        | 1       | keeps the cell      |
      | 0.5   | 2.0    | is not ready    | 2       | keeps the cell      |
      | 0.5   | 2.0    | does not answer | 2       | keeps the cell      |
      | 0.5   | 0.5    | is ready        | 2       | keeps the cell      |
      | 1.1   | 2.0    | is ready        | 2       | keeps the cell      |

  Scenario Outline: An owner whose heartbeats are missed is asked
    Given a host that follows an owner whose heartbeats are missed
    When the owner answers that it <word>
    Then the host <claims> the cell

    Examples:
      | word  | claims        |
      | acts  | does not claim |
      | ended | claims        |

  # The same day, every host wrote its clients' jobs itself once the owner was
  # late: more appends at a time than a slow partition lets wait.
  Scenario Outline: Who writes for a zone
    Given the hosts n-large, n-1, n-2, s-large, s-1
    Then <me> has its clients' jobs written by <deputy>, with <avoided> out of reach

    Examples:
      | me      | deputy  | avoided |
      | n-2     | n-large | nobody  |
      | n-2     | n-1     | n-large |
      | n-large | itself  | nobody  |
      | s-1     | s-large | nobody  |
      | s-1     | itself  | s-large |

  Scenario: Hosts claim one after the other, the largest first
    Given the hosts n-1, s-1, n-large, s-large
    Then after the owner n-large they claim in the order s-large, n-1, s-1

  # A host that had just started said that no job waits: it was still reading the
  # submissions of jobs that were long over, 13 s on its small link.
  Scenario Outline: What stays in the store of a job that is over
    Given a job of which the store has <records>
    When its owner notes that it is <state>
    Then a host that starts now reads 1 record and shows it as <state>

    Examples:
      | records                             | state     |
      | the submission                      | completed |
      | the submission                      | failed    |
      | the submission and its cancellation | cancelled |

  Scenario: A repeated submission does not bring a job back that is over
    Given a job of which the store has the submission
    When its owner notes that it is completed
    And a late repetition of the submission lands
    Then a host that starts now reads 2 record and shows it as completed

  # The history was cut while a host was away. It must start again from a
  # snapshot, and forget what a snapshot does not hold.
  Scenario: A follower whose offset has expired
    Given a follower that is behind
    When the records that it has not read are gone
    Then it knows what the newest records say

  Scenario: An older owner's heartbeat does not bring it back
    Given the claims of the epochs 1 and 2, and a late heartbeat of epoch 1
    Then the owner is that of epoch 2

  # A queue had just been added. The host that a client asked knew it and passed the
  # job on to the owner, which was cut off from the store and did not; the client
  # was told that there is no such queue.
  Scenario Outline: What a peer's answer is worth
    Given a peer that answers <status>
    When a request is passed on to it
    Then the client <outcome>

    Examples:
      | status | outcome          |
      | 200    | is told so       |
      | 410    | is told so       |
      | 404    | is served here   |
      | 503    | is served here   |
      | 504    | is left in doubt |

  # A zone was cut off. In the first second its hosts passed each job on to the owner, which
  # never got it; nobody could know that, so the clients were told that the job may be
  # stored, and did not ask a host of another zone.
  Scenario Outline: A job is not handed to a peer that does not say that it can act
    Given an owner that <answers> when it is asked whether it acts
    When a request is passed on to it
    Then no job was handed to it
    And the client is served here

    Examples:
      | answers               |
      | says nothing          |
      | says that it does not |

  # The owner answered a host's question for a state in more than 0.1 s, once in a burst.
  # For 1.5 s that host stored its clients' jobs itself, and they started 0.2 s later.
  Scenario: A state that does not come in time keeps no jobs away
    Given a peer that answers 200
    And it is deaf to the next question
    When a host asks it for a state and gets no answer in 0.1 s
    And a request is passed on to it
    Then the client is told so

  # A host was cut off from its peers for 12 s; in every 2.5 s its clients waited for
  # the owner once more.
  Scenario Outline: When a peer that does not answer is asked again
    Given a peer that has not answered <misses> requests in a row
    When <seconds> s later a request comes
    Then the peer <fate>

    Examples:
      | misses | seconds | fate         |
      | 1      | 1.4     | is left out  |
      | 1      | 1.6     | is asked     |
      | 2      | 2.9     | is left out  |
      | 2      | 3.1     | is asked     |
      | 9      | 4.1     | is asked     |
      | 1100   | 4.1     | is asked     |

  # The owner was cut off with its zone, and so from a runner on which a task ran.
  # Its successor renewed that runner's leases and noted the task's end. The old
  # owner took the leases for run out and started the task again in its own zone.
  Scenario Outline: Leases of a silent runner, at an owner that the store does not answer
    Given a runner whose leases ran out 5 s after its last answer
    When the owner's last append was answered <seconds> s after that answer
    Then 7 s after it the tasks there count as <fate>, and new starts are <starts>

    Examples:
      | seconds | fate | starts    |
      | 1       | held | forbidden |
      | 4       | held | forbidden |
      | 6       | gone | allowed   |

  # A zone was cut off. Looks wait at the runners for news, so it took 2 s until the
  # runners there were known to be silent; each start sent there meanwhile held its
  # task up for 5 s, since it might have arrived.
  Scenario: One start without an answer keeps others away
    Given an owner with a runner that does not answer
    When it sends one start there
    Then the runner gets nothing more until it has answered a look

  # An owner was cut off with its zone and went on renewing leases there. Its
  # successor was killed at once. The next owner took that one's end for the end of
  # all, and started tasks that the first one kept running.
  Scenario Outline: An owner that follows a killed one
    Given a former owner that was killed when earlier owners might act for <unsettled> s
    When a host takes over
    Then it leaves jobs on unseen runners alone for <wait> s

    Examples:
      | unsettled | wait |
      | 0         | 8.72 |
      | 12        | 12   |

  # After an outage of the store most hosts had nothing of their own to write, so
  # none of their appends succeeded; they stayed out of rotation for the whole day.
  Scenario: A host that writes nothing after an outage
    Given a writer whose appends were refused for a while
    Then the store counts as out of reach
    And 2 s later it does not

  Scenario Outline: How long an answer is waited for
    Given answers of <seconds> s and then <misses> misses
    Then the next one is waited for about <patience> s

    Examples:
      | seconds | misses | patience |
      | 0.004   | 0      | 0.3      |
      | 0.004   | 1      | 0.6      |
      | 0.004   | 2      | 0.9      |
      | 0.1     | 0      | 0.8      |
      | 0.1     | 1      | 0.9      |
      | 0.25    | 3      | 0.9      |
