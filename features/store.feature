Feature: What stands in the store, under lost answers and late appends

  # Guards against calling a submission refused that may have been stored.
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

  # Guards against every host reading what all runners write.
  Scenario Outline: Which hosts keep the list of runners at hand
    Given a host that is number <place> of <count> in the order of claims
    Then the list of runners is <read>

    Examples:
      | place | count | read         |
      | 1     | 97    | read         |
      | 9     | 97    | read         |
      | 10    | 97    | not read     |
      | 8     | 8     | read         |

  # Guards against a new owner that does not know the runners of cancelled jobs.
  Scenario: A host that does not know its place yet
    Given a host that no other host has heard of
    Then the list of runners is read

  Scenario: A host that did not keep the list of runners owns the cell
    Given a follower of a topic that is not wanted
    Then nothing is read
    When it is wanted and hurried
    Then it knows the newest records at once

  # Guards against a host with a slow link that never catches up.
  Scenario: A host behind a slow link catches up
    Given a follower that has 1 MB to read, and a link on which 0.3 MB come in time
    When it follows
    Then it knows the newest record after 16 reads at most

  # Guards against appending records of a job that a newer one replaces.
  Scenario: Many ends of one job during an append
    Given a writer to which 20 newer and newer records of a job are given during an append
    Then the store has taken one more append of 1 record, the newest
    And each of the 20 is known to be stored

  # Guards against keeping a client in doubt whose job waits behind a failing append.
  Scenario: A job comes while an earlier append is tried again and again
    Given an owner whose heartbeat the store refuses for 2 s
    When a job comes that may wait for 0.3 s for its turn
    Then its client is told so within 1 s
    And the store never holds it

  # Guards against a former owner's append that overwrites its successor's.
  Scenario: A late append of a former owner
    Given an owner whose last append is late
    When a successor has written and the late append lands
    Then the store holds what the successor wrote

  Scenario: An owner whose answer was lost repeats its append without harm
    Given an owner whose append lost its answer
    When it writes again
    Then every record stands in the store once

  # Guards against two owners of one epoch.
  Scenario: Two hosts claim at the same moment
    Given two hosts that have read a store without an owner
    When both claim
    Then one of them owns the cell

  # Guards against claiming the cell from an owner that lives when the store comes back.
  Scenario: The store comes back
    Given a host that follows an owner while the store is down for 5 s
    When the store is back
    Then the host does not claim at once

  Scenario: A host that is told of a failing owner claims at once
    Given a host that follows an owner
    When the owner asks for a successor
    Then the host owns the cell with the next epoch

  # Guards against one unreadable record that ends the reading of the store.
  Scenario: A record that cannot be read
    Given a host that reads a record of another version
    When a job is stored behind it
    Then the host knows the job

  # Guards against claims whose condition is never met while jobs keep coming.
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

  # Guards against replacing an owner that was not read yet.
  Scenario: Two hosts claim a cell that was left, and one reads late
    Given a host that follows an owner that has left the cell
    And another host has claimed it, which this host reads 0.8 s late
    When it claims until then
    Then the other host owns the cell, and 1 appends were made

  # Guards against a small host, or one that is not ready, that keeps the cell.
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

  # Guards against all hosts of a zone appending to a slow store.
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

  # Guards against a fresh host that reads jobs which are long over.
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

  # Guards against relying on what a snapshot does not hold any more.
  Scenario: A follower whose offset has expired
    Given a follower that is behind
    When the records that it has not read are gone
    Then it knows what the newest records say

  Scenario: An older owner's heartbeat does not bring it back
    Given the claims of the epochs 1 and 2, and a late heartbeat of epoch 1
    Then the owner is that of epoch 2

  # Guards against believing a peer that does not know the newest configuration.
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

  # Guards against handing a job to a peer that never gets it.
  Scenario Outline: A job is not handed to a peer that does not say that it can act
    Given an owner that <answers> when it is asked whether it acts
    When a request is passed on to it
    Then no job was handed to it
    And the client is served here

    Examples:
      | answers               |
      | says nothing          |
      | says that it does not |

  # Guards against keeping jobs from an owner because one answer came late.
  Scenario: A state that does not come in time keeps no jobs away
    Given a peer that answers 200
    And it is deaf to the next question
    When a host asks it for a state and gets no answer in 0.1 s
    And a request is passed on to it
    Then the client is told so

  # Guards against asking a peer that does not answer again and again.
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

  # Guards against an old owner that takes leases for run out which its successor renews.
  Scenario Outline: Leases of a silent runner, at an owner that the store does not answer
    Given a runner whose leases ran out 5 s after its last answer
    When the owner's last append was answered <seconds> s after that answer
    Then 7 s after it the tasks there count as <fate>, and new starts are <starts>

    Examples:
      | seconds | fate | starts    |
      | 1       | held | forbidden |
      | 4       | held | forbidden |
      | 6       | gone | allowed   |

  # Guards against starts that are sent into a partition.
  Scenario: One start without an answer keeps others away
    Given an owner with a runner that does not answer
    When it sends one start there
    Then the runner gets nothing more until it has answered a look

  # Guards against taking one owner's end for the end of all before it.
  Scenario Outline: An owner that follows a killed one
    Given a former owner that was killed when earlier owners might act for <unsettled> s
    When a host takes over
    Then it leaves jobs on unseen runners alone for <wait> s

    Examples:
      | unsettled | wait |
      | 0         | 8.72 |
      | 12        | 12   |

  # Guards against hosts out of rotation that nothing tells of the store's return.
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
