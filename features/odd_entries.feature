Feature: Odd entries of other writers on the whole path

  # Guards against one odd entry that ends a host, stops its reading or keeps jobs waiting.
  Scenario: Another writer leaves odd entries among those of the runners
    Given two entry hosts and a runner whose entry has become odd in many ways
    Then jobs run on the other runners, and each host has counted the odd entries
    When the hosts start again from a snapshot with odd entries
    Then jobs run on the other runners, and each host has counted the odd entries
    When the runner writes its valid entry again
    Then jobs run on it

  # Guards against one odd entry that ends a daemon, or hides later changes of the host list.
  Scenario Outline: The host list has an odd entry: <odd>
    Given a daemon whose host list has an odd entry: <odd>
    Then it is ready, runs a job and counts 1 unusable host
    And it learns that another host leaves

    Examples:
      | odd                           |
      | a value nested 400 deep       |
      | a value nested 100000 deep    |
      | port 99999                    |
      | a port of 400 digits          |
      | a port of 5000 digits         |
      | an address that is a name     |
      | a capacity of 1e308           |
      | text that is not UTF-8        |
      | null                          |

  # Guards against starting the tasks of a worker elsewhere because of an odd entry of its name.
  Scenario Outline: The entry of a worker becomes odd: <odd>
    When the entry of a listed worker becomes odd, and then valid: <odd>
    Then its last known entry is kept in between

    Examples:
      | odd                           |
      | a value nested 100000 deep    |
      | port 99999                    |
      | a port of 400 digits          |

  # Guards against one odd record that stops the reading of a log stream.
  Scenario Outline: Another writer appends an odd record: <odd>
    When an odd record is read between two valid ones: <odd>
    Then both are processed and 1 unreadable record is counted

    Examples:
      | odd                           |
      | a body nested 100000 deep     |
      | an envelope nested 1000 deep  |
      | a number of 5000 digits       |
      | text that is not UTF-8        |

  # Guards against answering "unknown" to a request that was not even read, so that clients repeat it.
  Scenario Outline: A body of <levels> levels is sent to <path>
    Given a shared cell
    When a body nested <levels> deep is sent to <path>
    Then it is refused as not_run with a status of 4xx

    Examples:
      | levels | path                |
      | 100000 | /v1/jobs            |
      | 1000   | /v1/jobs/cancel     |
      | 1000   | /v1/contracts/x     |

  # Guards against a worker that counts as reachable while its list of tasks cannot be read.
  Scenario Outline: A worker lists its tasks with <odd>
    When a worker lists its tasks with <odd>
    Then the list counts as not received

    Examples:
      | odd                           |
      | a value nested 100000 deep    |
      | a revision of 5000 digits     |
      | no tasks                      |
