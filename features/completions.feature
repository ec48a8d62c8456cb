Feature: Jobs are shown as completed once their end is stored

  # Guards against reporting a job as completed that runs again once the hosts that know its end, and
  # the runner that lists it, are lost.
  Scenario Outline: A runner lists the end of a job
    Given an owner whose store is <store>
    When a runner lists the end of its job
    Then a client that asks <host> is told that the job is <state>

    Examples:
      | store                     | host                                      | state     |
      | available                 | the owner                                 | completed |
      | available                 | another host                              | completed |
      | unavailable               | the owner                                 | running   |
      | unavailable               | another host                              | running   |
      | unavailable               | a host that is cut off with its runner    | running   |
      | losing answers of appends | the owner                                 | running   |
      | losing answers of appends | another host                              | running   |

  # Guards against clients that learn late of jobs that have ended during an outage.
  Scenario Outline: The store is available again
    Given an owner whose store is unavailable
    When a runner lists the end of its job
    And its store is available again
    Then a client that asks <host> is told within 0.5 s that the job is completed

    Examples:
      | host         |
      | the owner    |
      | another host |

  # Guards against running a task again whose end is stored or listed by a runner that has survived.
  Scenario Outline: A new owner finds a job that has run on w1
    Given a store in which a job runs on w1, and its end is <stored>
    When a host owns the cell and w1 <answers>
    Then the job's task is <outcome>

    Examples:
      | stored     | answers                  | outcome                           |
      | stored     | has restarted            | not started, and the job complete |
      | stored     | does not answer          | not started, and the job complete |
      | not stored | lists it as done         | not started, and the job complete |
      | not stored | still runs the task      | not started                       |
      | not stored | does not answer          | not started                       |
      | not stored | has restarted            | started again                     |

  # Guards against telling a client that its job does not exist, right after another host accepted it.
  Scenario Outline: A client asks for a job that the host has not read
    Given a host whose latest complete read of the store was sent <age> s before the request
    And the next read <read>
    When a client asks it for a job that it does not know
    Then its status request gets <status>

    Examples:
      | age  | read                  | status |
      | 0.02 | does not come in time | 503    |
      | 0.02 | has the job           | 200    |
      | 0.02 | does not have the job | 410    |
      | 9    | does not come in time | 503    |
