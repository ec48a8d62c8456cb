Feature: Unreadable runner entries and records in the store

  # Guards against trusting an entry that another writer has left under a runner's key.
  Scenario Outline: The entry of a runner with a running task becomes unreadable
    Given a runner with a running task and a valid entry
    When its entry becomes <entry>
    Then no further task is started on it
    And its task stays allocated there, and is not started elsewhere
    And it is still polled at its last known address
    And its next valid entry makes it usable again

    Examples:
      | entry                            |
      | without a service                |
      | without an address               |
      | without a zone                   |
      | without a state                  |
      | without a capacity               |
      | a service that is a number       |
      | a state that is a list           |
      | labels that are not a list       |
      | a capacity that is text          |
      | an empty service                 |
      | a service that is not configured |
      | an unknown state                 |
      | a capacity below zero            |
      | memory below zero                |
      | a capacity of 400 digits         |
      | a capacity with a fraction       |
      | port 0                           |
      | port 99999                       |
      | a port of non-ASCII digits       |
      | a port of superscript digits     |
      | an address without a port        |
      | an address of 300 characters     |
      | an address that is a name        |
      | an address of three numbers      |
      | an IPv6 address                  |
      | an address with a zero byte      |
      | a negative remaining time        |
      | a null document                  |
      | a list                           |
      | a number                         |
      | invalid JSON                     |
      | truncated                        |
      | two JSON values                  |
      | nested deeply                    |
      | nested deeply in a field         |
      | bytes that are not UTF-8         |
      | UTF-16 text                      |
      | a field that is not UTF-8        |
      | an unpaired surrogate            |

  # An entry that no host has ever read as valid has no trusted address: it is not polled.
  Scenario Outline: An entry that was never valid
    Given a host that knows two valid entries
    When there is a third entry with <entry>
    Then only the two runners are known

    Examples:
      | entry                            |
      | without a service                |
      | without an address               |
      | without a zone                   |
      | without a state                  |
      | without a capacity               |
      | a service that is a number       |
      | a state that is a list           |
      | labels that are not a list       |
      | a capacity that is text          |
      | an empty service                 |
      | a service that is not configured |
      | an unknown state                 |
      | a capacity below zero            |
      | memory below zero                |
      | a capacity of 400 digits         |
      | a capacity with a fraction       |
      | port 0                           |
      | port 99999                       |
      | a port of non-ASCII digits       |
      | a port of superscript digits     |
      | an address without a port        |
      | an address of 300 characters     |
      | an address that is a name        |
      | an address of three numbers      |
      | an IPv6 address                  |
      | an address with a zero byte      |
      | a negative remaining time        |
      | a null document                  |
      | a list                           |
      | a number                         |
      | invalid JSON                     |
      | truncated                        |
      | two JSON values                  |
      | nested deeply                    |
      | nested deeply in a field         |
      | bytes that are not UTF-8         |
      | UTF-16 text                      |
      | a field that is not UTF-8        |
      | an unpaired surrogate            |

  Scenario: The entry of a runner names another service of the configuration
    Given a runner with a running task and a valid entry
    When its entry becomes one of another service
    Then no further task is started on it
    And its task stays allocated there, and is not started elsewhere
    And it is still polled at its last known address
    And its next valid entry makes it usable again

  Scenario: A runner whose entry is unreadable dies
    Given a runner with a running task and a valid entry
    When its entry becomes invalid JSON
    And all its leases have expired
    Then its task is started elsewhere

  # Guards against treating a runner as replaced because of an unusable entry at its address.
  Scenario Outline: Another entry at the address of a runner does not replace it
    Given a runner with a running task whose entry was removed
    When another entry at its address has <entry>
    Then its task stays assigned to it, and is not started elsewhere

    Examples:
      | entry                            |
      | nothing wrong                    |
      | a service that is not configured |
      | an unknown state                 |
      | a capacity below zero            |
      | invalid JSON                     |

  # The configuration is read from another topic, and may come after the entries.
  Scenario: An entry was accepted before any configuration was known
    Given a runner with a running task whose entry was removed
    When an entry of an unconfigured service at its address is read before the configuration
    Then its task stays assigned to it, and is not started elsewhere

  Scenario: An entry becomes unreadable before the order to start a task is sent
    Given a runner with a running task and a valid entry
    When the start of a second task on it is planned, and its entry becomes invalid JSON
    Then the order is not sent

  Scenario: The next owner does not poll a runner with an unusable entry
    Given a runner with a running task and a valid entry
    When its entry becomes invalid JSON
    And another term begins
    Then the next owner polls i-2 only

  Scenario: An unreadable entry is read again from a snapshot
    Given a runner with a running task and a valid entry
    When its entry becomes invalid JSON
    And the host starts again from a snapshot
    Then it is still polled at its last known address
    And no further task is started on it

  # Guards against polling a runner whose id cannot be sent, which fails at each attempt.
  Scenario Outline: A valid entry under an odd key: <key>
    Given a host that knows two valid entries
    When there is a valid entry under the key <key>
    Then only the two runners are known
    And the entry is logged once and counted

    Examples:
      | key             |
      | with a line feed |
      | with a space    |
      | with a zero byte |
      | with an umlaut  |

  # Guards against one record without a key that stops the reading of a topic.
  Scenario Outline: Records without a valid key
    Given a host that follows a topic
    When it reads <record> between two valid entries
    Then it knows both entries and has read to the end

    Examples:
      | record                       |
      | an empty record              |
      | a record of one byte         |
      | an empty key                 |
      | a key that is not UTF-8      |
      | a key longer than its record |

  Scenario: A read that is truncated
    Given a host that follows a topic
    When its read of three entries is cut in the last one
    Then the last one is read again completely

  Scenario: A read that is shorter than its header
    Given a host that follows a topic
    When its read is cut in the header
    Then the read counts as a failure of the store

  Scenario Outline: A page of newest records with an item that cannot be read
    Given a host that follows a topic
    When it reads a page with an item <item> between two valid ones
    Then it knows both entries and has read to the end

    Examples:
      | item                                |
      | without a key                       |
      | with a number as key                |
      | with an unpaired surrogate as key   |
      | with bad base64                     |
      | with an unpaired surrogate as value |
      | with a list as value                |
      | with a text as offset               |
      | that is null                        |

  Scenario: An item of a known runner on a page cannot be read
    Given a runner with a running task and a valid entry
    When a page shows its entry with bad base64
    Then no further task is started on it
    And it is still polled at its last known address

  Scenario: Pages that make no progress
    Given a host that follows a topic
    When each page ends with the key after which it began
    Then the read counts as a failure of the store

  # Guards against losing a configuration because the next one is unreadable.
  Scenario Outline: The newest configuration cannot be read
    Given a host with configuration 3
    When it reads configuration 5 and then <record>
    Then configuration 5 is in force

    Examples:
      | record                  |
      | invalid JSON            |
      | a list                  |
      | routes that are text    |
      | no version              |
      | nested deeply           |
      | a version below zero    |
      | a version of 400 digits |
      | a negative timeout      |

  # Guards against a client whose job was accepted and is then reported as unknown (410).
  Scenario Outline: A record of an accepted job cannot be read
    Given a host that has read <before>
    When the record of <key> becomes <record>
    Then the job is shown as <state>
    And the job is <handled>

    Examples:
      | before            | key | record           | state     | handled     |
      | nothing           | j   | invalid JSON     | queued    | not started |
      | nothing           | j   | nested deeply    | queued    | not started |
      | nothing           | j   | a huge count     | queued    | not started |
      | nothing           | j   | a tiny interval  | queued    | not started |
      | nothing           | j   | a cycle of steps | queued    | not started |
      | a job             | j   | invalid JSON     | queued    | started     |
      | a job             | j   | a huge count     | queued    | started     |
      | a job             | e   | invalid JSON     | running   | not started |
      | a job             | e   | an invalid mask  | running   | not started |
      | a job             | e   | an unknown step  | running   | not started |
      | a job             | c   | invalid JSON     | queued    | started     |
      | a job in progress | e   | invalid JSON     | running   | started     |
      | a job in progress | e   | an unknown step  | running   | started     |
      | a completed job   | e   | invalid JSON     | completed | not started |
      | nothing           | e   | invalid JSON     | running   | not started |

  # Guards against one client's job that blocks all others.
  Scenario Outline: A job whose record no host could read is refused
    When a client submits a job with <part>
    Then it is refused as invalid

    Examples:
      | part                   |
      | "interval_ms": 1e-300  |
      | "interval_ms": -1      |
      | "first_run_ms": -1e300 |
      | "repeat_count": 100000 |

  Scenario Outline: A job's record is unreadable in a snapshot
    Given a host that has read a job in progress
    When it starts again from a snapshot in which <key> is <record>
    Then the job is shown as running
    And the job is started

    Examples:
      | key | record        |
      | j   | invalid JSON  |
      | e   | invalid JSON  |
      | j   | nested deeply |

  Scenario: A client submits an unreadable job again
    Given a host that has read nothing
    When the record of j becomes invalid JSON
    And the same job is submitted again
    Then the job is shown as queued
    And the job is started

  # Guards against claiming the cell because its ownership record cannot be read.
  Scenario Outline: The ownership record cannot be read
    Given a host that reads an owner's heartbeats
    When the ownership record becomes <record>
    Then it does not count as a heartbeat
    And the known owner is unchanged
    And a host that starts now waits for a heartbeat before it claims

    Examples:
      | record                  |
      | invalid JSON            |
      | a list                  |
      | nested deeply           |
      | an epoch below zero     |
      | an epoch of 400 digits  |
      | a host that is a number |

  Scenario: The list of runners that may hold an owner's tasks cannot be read
    Given a job that an owner has started on the runner i-1
    When a host that has read no list takes over, and the list is invalid JSON
    Then it starts no task of that job until all leases must have expired

  Scenario Outline: The address of a peer cannot be read
    Given a host that knows a peer
    When the peer's record becomes <record>
    Then the known address of the peer is unchanged

    Examples:
      | record                       |
      | invalid JSON                 |
      | port 0                       |
      | port 99999                   |
      | an address of 300 characters |
      | an address that is a name    |
      | nested deeply                |

  # Guards against treating a run as lost because its row in the list cannot be read.
  Scenario Outline: A runner lists something that cannot be read
    Given a runner that runs two tasks
    When it lists the first one, and in place of the second <row>
    Then the second task stays allocated there

    Examples:
      | row                     |
      | a row that is a number  |
      | a row without a run     |
      | an invalid task name    |
      | a run of 400 digits     |
      | progress that is a list |

  Scenario: A runner lists ends, and one that cannot be read
    Given a runner that runs two tasks
    When it lists the ends 5 and 7 as done, and between them one of an unknown outcome
    Then the ends that can be read are processed
    And no end from 6 on is acknowledged

  # Guards against losing ends of a job whose submission cannot be read yet.
  Scenario: A job cannot be read while its ends are listed
    Given a successor that cannot read a job's submission
    When a runner lists an end of the job as done
    Then no end from 1 on is acknowledged
    When the job can be read
    Then the end is processed when it is listed again, and may be acknowledged

  Scenario: A runner lists nothing that can be read
    Given a runner that runs two tasks
    When it answers a poll with invalid JSON
    Then the poll counts as unanswered

  Scenario: A writer that repeats the same unreadable entry
    Given a host that follows a topic
    When it reads the same unreadable entry 100 times, and then a valid one
    Then it logs the two changes and counts 100 unreadable records

  Scenario: A writer of unreadable entries, each under another key
    Given a host that follows a topic
    When it reads 5000 unreadable entries of different keys
    Then it logs 20 at most and counts 5000 unreadable records

  Scenario Outline: Randomly mutated records
    When <cases> batches with a mutated record are read with seed <seed>
    Then no valid record and no offset is lost, and no reader fails

    Examples:
      | cases | seed |
      | 10000 | 1    |
