Feature: Refusal of jobs that would end too late to be of use

  # Guards against a refusal that no backlog justifies, and against accepting useless jobs.
  Scenario Outline: A new urgent job while two full runners become free in 10 s
    Given a cell whose runners are full for 10 s, and <waiting>
    When an urgent job of 1 s is judged <when>
    Then the verdict on it is <verdict>

    Examples:
      | waiting                                      | when        | verdict  |
      | urgent jobs that have waited for 0.5 to 3 s  | at once     | overload |
      | urgent jobs that have waited for 2 to 3 s    | at once     | accepted |
      | urgent jobs that have waited for 0.1 to 0.5 s | at once    | accepted |
      | batch jobs that have waited for 0.5 to 3 s   | at once     | accepted |
      | urgent jobs that have waited for 0.5 to 3 s  | 2 s later   | accepted |
      | urgent jobs and a runner that was not polled | at once     | accepted |
      | urgent jobs and an empty runner              | at once     | accepted |

  # Guards against refusing an account for the backlog of another one that is at its quota.
  Scenario: An account whose quota is used up
    Given a cell with free runners, and the account blue whose quota is in use for 10 s
    And urgent jobs of blue have waited for 0.5 to 3 s
    Then an urgent job of blue is judged as quota
    And an urgent job of red is judged as accepted

  # Guards against a refusal while capacity is free.
  Scenario: Jobs that can start at once
    Given 300 random cells, each with a long backlog
    When a random job is judged in each and then planned
    Then no job was refused that started at once
    And at least 20 jobs were refused

  # Guards against a queue that changes its answer with each forecast.
  Scenario: A queue accepts jobs again below 0.7 of the limit
    Given a cell whose runners are full for 10 s, and urgent jobs that have waited for 0.5 to 3 s
    Then with these seconds until runners are free, the verdicts are
      | seconds | verdict  |
      | 7       | accepted |
      | 10      | overload |
      | 7       | overload |
      | 4       | accepted |
      | 7       | accepted |
    And the state of the queue has changed 2 times

  # Guards against clients that all return in the same second.
  Scenario: Clients that are refused together
    Given 30 clients are refused at the same time with a wait of 12 s and capacity in 8 s
    Then their times to retry never decrease, and spread over 8 to 12 s
    And a client that was refused before is told to retry in 8 s
    And with capacity in 90 s they are told to retry in 30 s

  # Guards against running a job of which a client was told that it is not run.
  Scenario Outline: An earlier attempt is stored after the refusal: <events>
    Given an owner that refuses a job, of which an earlier append got no answer
    When these events follow its refusal: <events>
    Then the job is <fate>

    Examples:
      | events                                                                  | fate                     |
      | the late append is carried out                                          | not started, and deleted |
      | a successor takes over, then the late append is carried out             | not started, and deleted |
      | the late append is carried out, then a successor takes over             | not started, and deleted |
      | the owner accepts the job, then the late append is carried out          | kept as accepted         |
      | another host accepts the job, then the late append is carried out       | kept as accepted         |
      | the late append is carried out, then the owner accepts the job          | kept as accepted         |
      | the owner accepts the job, then the late append is carried out as a successor takes over | kept as accepted |
      | another host accepts the job, then a successor takes over               | kept as accepted         |

  # Guards against a refusal that a successor would not know of.
  Scenario: The store takes no heartbeat while a job is judged
    Given an owner whose heartbeats the store refuses for a second
    When it judges a useless job
    Then the job is not answered as refused

  # Guards against refusing a job that another host has accepted.
  Scenario: The job was accepted by another host right before
    Given an owner that has not read a submission that another host has stored
    When it judges a useless job
    Then the job is answered as accepted

  # Guards against a change where demand does not exceed capacity.
  Scenario: An owner without overload control
    Given an owner without overload control
    When it judges a useless job
    Then the job is answered as accepted
    And its heartbeats have no digest

  # Guards against an owner's record that other versions cannot read.
  Scenario Outline: A digest <digest>
    Given an owner's record with a digest <digest>
    When a host reads it twice
    Then the host knows the owner and <refusals> refused job
    And an earlier submission of a refused job is <knowledge> to the host
    And <lines> log line reports the digest
    And a host of the previous version knows the owner

    Examples:
      | digest             | refusals | knowledge | lines |
      | of this version    | 1        | unknown   | 0     |
      | of a newer version | 0        | known     | 1     |
      | that is malformed  | 0        | known     | 1     |
      | with absurd times  | 0        | known     | 0     |

  # Guards against a job that the relaying host stores although the owner has refused it.
  Scenario: A host relays a submission that the owner refuses
    Given a host that relays to an owner which refuses jobs for overload
    When a client submits a job to it
    Then the submission is answered 503
    And the answer has the owner's cause and time to retry
    And its own writer appended 0 records

  # Guards against deleting a job that a host has accepted because the refusal did not reach it.
  Scenario: The link breaks before the owner's refusal arrives
    Given a host that relays to an owner whose refusal is lost
    When a client submits a job to it
    Then the submission is answered 200
    And the stored submission is later than the refusal

  # Guards against a relaying host of the previous version, which would store a refused job.
  Scenario Outline: Which relayed jobs an owner may refuse
    Given an owner that gets a relayed submission of a host of the <version> version
    Then the owner <may> refuse it

    Examples:
      | version  | may     |
      | present  | may     |
      | previous | may not |
