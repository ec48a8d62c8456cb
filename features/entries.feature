Feature: Entries of other writers

  # Guards against trusting an entry that no runner has written.
  Scenario Outline: The entry of a runner at work becomes unreadable
    Given a runner at work whose entry is good
    When its entry becomes <entry>
    Then nothing new is started on it
    And what runs there counts, and is not started elsewhere
    And it is still looked at where it was last known
    And its next good entry brings it back

    Examples:
      | entry                        |
      | without a service            |
      | without an address           |
      | without a zone               |
      | without a state              |
      | without a capacity           |
      | a service that is a number   |
      | a state that is a list       |
      | labels that are no list      |
      | a capacity that is text      |
      | an empty service             |
      | a service that is not named  |
      | a state that is not named    |
      | a capacity below zero        |
      | memory below zero            |
      | a capacity of 400 digits     |
      | a capacity with a fraction   |
      | port 0                       |
      | port 99999                   |
      | a port of other digits       |
      | a port of superscripts       |
      | an address without a port    |
      | an address of 300 characters |
      | an address with a zero byte  |
      | time left below zero         |
      | nothing but null             |
      | a list                       |
      | a number                     |
      | no JSON                      |
      | cut short                    |
      | two values                   |
      | nested deeply                |
      | nested deeply in a field     |
      | bytes that are no text       |
      | text of another encoding     |
      | a field that is no text      |
      | half a surrogate pair        |

  # An entry that no host ever read as good has no address to trust: nobody is asked there.
  Scenario Outline: An entry that never was good
    Given a host that knows two good entries
    When there is a third one with <entry>
    Then only the two runners are known

    Examples:
      | entry                        |
      | without a service            |
      | without an address           |
      | without a zone               |
      | without a state              |
      | without a capacity           |
      | a service that is a number   |
      | a state that is a list       |
      | labels that are no list      |
      | a capacity that is text      |
      | an empty service             |
      | a service that is not named  |
      | a state that is not named    |
      | a capacity below zero        |
      | memory below zero            |
      | a capacity of 400 digits     |
      | a capacity with a fraction   |
      | port 0                       |
      | port 99999                   |
      | a port of other digits       |
      | a port of superscripts       |
      | an address without a port    |
      | an address of 300 characters |
      | an address with a zero byte  |
      | time left below zero         |
      | nothing but null             |
      | a list                       |
      | a number                     |
      | no JSON                      |
      | cut short                    |
      | two values                   |
      | nested deeply                |
      | nested deeply in a field     |
      | bytes that are no text       |
      | text of another encoding     |
      | a field that is no text      |
      | half a surrogate pair        |

  Scenario: The entry of a runner names another service of the configuration
    Given a runner at work whose entry is good
    When its entry becomes one of another service
    Then nothing new is started on it
    And what runs there counts, and is not started elsewhere
    And it is still looked at where it was last known
    And its next good entry brings it back

  Scenario: A runner whose entry is unreadable dies
    Given a runner at work whose entry is good
    When its entry becomes no JSON
    And all its leases have run out
    Then what ran there starts elsewhere

  # Guards against taking a runner for replaced by an entry that cannot be used.
  Scenario Outline: An entry at the address of a runner proves nothing
    Given a runner at work whose own entry has gone
    When another entry at its address has <entry>
    Then what runs there still counts, and is not started elsewhere

    Examples:
      | entry                         |
      | nothing wrong                 |
      | a service that is not named   |
      | a state that is not named     |
      | a capacity below zero         |
      | no JSON                       |

  # The configuration is read from another topic, and may come after the entries.
  Scenario: An entry was taken before any configuration was known
    Given a runner at work whose own entry has gone
    When an entry of an unnamed service at its address is read before the configuration
    Then what runs there still counts, and is not started elsewhere

  Scenario: An entry becomes unreadable between the decision to start a task and its order
    Given a runner at work whose entry is good
    When a second task is to start on it and its entry becomes no JSON
    Then the order is not sent

  Scenario: The next owner does not ask where an entry cannot be used
    Given a runner at work whose entry is good
    When its entry becomes no JSON
    And another term begins
    Then the next owner looks at i-2 only

  Scenario: An entry that changes between good and bad before a snapshot is read again
    Given a runner at work whose entry is good
    When its entry becomes no JSON
    And the host starts again from a snapshot
    Then it is still looked at where it was last known
    And nothing new is started on it

  # Guards against one record without a key that ends the reading of a topic.
  Scenario Outline: Records that name no key
    Given a host that follows a topic
    When it reads <record> between two good entries
    Then it knows both entries and has read to the end

    Examples:
      | record                       |
      | a record of no bytes         |
      | a record of one byte         |
      | a key of no bytes            |
      | a key that is no text        |
      | a key longer than its record |

  Scenario: A read that is cut short
    Given a host that follows a topic
    When its read of three entries is cut in the last one
    Then the last one is read again whole

  Scenario: A read that is shorter than its head
    Given a host that follows a topic
    When its read is cut in the head
    Then it counts as a failure of the store

  Scenario Outline: A page of newest records with an item that cannot be read
    Given a host that follows a topic
    When it reads a page with an item <item> between two good ones
    Then it knows both entries and has read to the end

    Examples:
      | item                    |
      | without a key           |
      | with a number as key    |
      | with half a pair as key |
      | with bad base64         |
      | with half a pair as value |
      | with a list as value    |
      | with a text as offset   |
      | that is null            |

  Scenario: An item of a known runner on a page cannot be read
    Given a runner at work whose entry is good
    When a page shows its entry with bad base64
    Then nothing new is started on it
    And it is still looked at where it was last known

  Scenario: Pages that do not get on
    Given a host that follows a topic
    When each page ends with the key that it began behind
    Then it counts as a failure of the store

  # Guards against losing a configuration to an unreadable one behind it.
  Scenario Outline: The newest configuration cannot be read
    Given a host with configuration 3
    When it reads configuration 5 and then <record>
    Then configuration 5 is in force

    Examples:
      | record               |
      | no JSON              |
      | a list               |
      | routes that are text |
      | no version           |
      | nested deeply        |
      | a version below zero |
      | a version of 400 digits |
      | a negative timeout   |

  # A client had its job accepted, and was then told that no such job exists (410).
  Scenario Outline: A record of an accepted job cannot be read
    Given a host that has read <before>
    When the record of <key> becomes <record>
    Then the job is shown as <state>
    And the job is <handled>

    Examples:
      | before               | key | record           | state   | handled     |
      | nothing              | j   | no JSON          | queued  | not started |
      | nothing              | j   | nested deeply    | queued  | not started |
      | nothing              | j   | a wild count     | queued  | not started |
      | nothing              | j   | a tiny interval  | queued    | not started |
      | nothing              | j   | a cycle of steps | queued  | not started |
      | a job                | j   | no JSON          | queued  | started     |
      | a job                | j   | a wild count     | queued  | started     |
      | a job                | e   | no JSON          | running | not started |
      | a job                | e   | a bad mask       | running | not started |
      | a job                | e   | a step too many  | running | not started |
      | a job                | c   | no JSON          | queued  | started     |
      | a job under way      | e   | no JSON          | running | started     |
      | a job under way      | e   | a step too many  | running | started     |
      | a completed job      | e   | no JSON          | completed | not started |
      | nothing              | e   | no JSON          | running | not started |

  # Guards against one client's job that stops all others.
  Scenario Outline: What no host would read is not accepted
    When a client hands in a job with <part>
    Then it is refused as bad input

    Examples:
      | part                    |
      | "interval_ms": 1e-300   |
      | "interval_ms": -1       |
      | "first_run_ms": -1e300  |
      | "repeat_count": 100000  |

  Scenario Outline: A job's record is unreadable in a snapshot
    Given a host that has read a job under way
    When it starts again from a snapshot in which <key> is <record>
    Then the job is shown as running
    And the job is started

    Examples:
      | key | record        |
      | j   | no JSON       |
      | e   | no JSON       |
      | j   | nested deeply |

  Scenario: A client hands an unreadable job in again
    Given a host that has read nothing
    When the record of j becomes no JSON
    And the same job is handed in again
    Then the job is shown as queued
    And the job is started

  # Guards against claiming the cell because its ownership record cannot be read.
  Scenario Outline: The ownership record cannot be read
    Given a host that hears an owner's heartbeats
    When the ownership record becomes <record>
    Then it does not count as a heartbeat
    And the owner is the same as before
    And a host that starts now waits for a heartbeat before it claims

    Examples:
      | record                |
      | no JSON               |
      | a list                |
      | nested deeply         |
      | an epoch below zero   |
      | an epoch of 400 digits |
      | a host that is a number |

  Scenario: The list of runners that may hold an owner's tasks cannot be read
    Given a job that an owner has started on the runner i-1
    When a host that has read no list takes over, and the list is no JSON
    Then it leaves that job alone until the leases must be over

  Scenario Outline: Where a host listens cannot be read
    Given a host that knows a peer
    When the peer's record becomes <record>
    Then the peer is where it was

    Examples:
      | record                 |
      | no JSON                |
      | port 0                 |
      | port 99999             |
      | an address of 300 characters |
      | nested deeply          |

  # Guards against taking a run for lost because another row of the list cannot be read.
  Scenario Outline: A runner lists something that cannot be read
    Given a runner that runs two tasks
    When it lists the first one, and in place of the second <row>
    Then the second one still counts on it

    Examples:
      | row                        |
      | a row that is a number     |
      | a row without a run        |
      | a name that is no task     |
      | a run of 400 digits        |
      | progress that is a list    |

  Scenario: A runner lists ends, and one that cannot be read
    Given a runner that runs two tasks
    When it lists the ends 5 and 7 as done, and between them one of an unknown outcome
    Then the ends that can be read count
    And no end from 6 on is acknowledged

  # Guards against forgetting ends of a job that cannot be read yet.
  Scenario: A job cannot be read while its ends are listed
    Given a successor that cannot read a job's submission
    When a runner lists an end of the job as done
    Then no end from 1 on is acknowledged
    When the job can be read
    Then the end counts when it is listed again, and may be acknowledged

  Scenario: A runner lists nothing that can be read
    Given a runner that runs two tasks
    When it answers a look with no JSON
    Then that counts as no answer

  Scenario: A writer that repeats itself
    Given a host that follows a topic
    When it reads the same unreadable entry 100 times, and then a good one
    Then it tells of the two changes and counts 100 unreadable records

  Scenario: A writer that never writes the same twice
    Given a host that follows a topic
    When it reads 5000 unreadable entries of different keys
    Then it tells of 20 at most and counts 5000 unreadable records

  Scenario Outline: Mutated records, drawn at random
    When <cases> batches mutated from good ones are read with seed <seed>
    Then none of them costs a good record, an offset or the reader

    Examples:
      | cases | seed |
      | 10000 | 1    |
