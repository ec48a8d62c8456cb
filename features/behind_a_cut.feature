Feature: Jobs of an availability zone that is cut off

  # Guards against telling a client inside a partition that its job is complete while tasks of it
  # may still run.
  Scenario Outline: When a job of two steps counts as complete
    Given a job of two tasks followed by a gang of three, with <stored> stored as done
    When a runner of the zone lists <listed>
    Then the job of the zone counts as <verdict>

    Examples:
      | stored     | listed                     | verdict      |
      | both tasks | the gang's first as done   | complete     |
      | the first  | the second and the gang    | complete     |
      | both tasks | nothing                    | not complete |
      | the first  | the gang's first as done   | not complete |
      | both tasks | the gang's first as failed | not complete |
      | no tasks   | the second and the gang    | not complete |

  Scenario Outline: Jobs whose completion cannot be determined
    Given a job <kind>, whose first tasks are listed as done
    Then the job of the zone counts as not complete

    Examples:
      | kind                  |
      | with a schedule       |
      | of long-running tasks |

  Scenario Outline: A client of the zone asks for its job
    Given a host that is <where>, beside <peer>
    And a runner of its zone that <runner> the job's only task
    When a client asks for the job
    Then inside the partition it is told <state>
    And no lease was renewed and no end acknowledged

    Examples:
      | where                                        | peer                            | runner                    | state       |
      | cut off with its zone                        | a host that is cut off as well  | lists as done             | completed   |
      | cut off with its zone                        | a host that is cut off as well  | still runs                | nothing new |
      | cut off with its zone                        | a host that is cut off as well  | does not answer about     | nothing new |
      | cut off with its zone                        | a host that is cut off as well  | refuses a stale epoch for | nothing new |
      | cut off with its zone                        | a host that reaches other zones | lists as done             | nothing new |
      | cut off with its zone                        | no other host                   | lists as done             | nothing new |
      | connected to other zones                     | a host that is cut off as well  | lists as done             | nothing new |
      | cut off, and was queried by the owner        | a host that is cut off as well  | lists as done             | nothing new |
      | queried by the owner while it tells its peer | a host that is cut off as well  | lists as done             | nothing new |

  Scenario: Many clients ask for the same job at once
    Given a host that is cut off with its zone, beside a host that is cut off as well
    And a runner of its zone that lists as done the job's only task
    When 10 clients ask for the job within 0.1 s
    Then the runner was polled once

  # Guards against starting a task again whose job was shown as complete to a client inside a
  # partition.
  Scenario Outline: A lease expires, or a runner crashes, inside a partition
    Given an owner whose runner in south has been silent for <silent> s
    When south, with 2 hosts, <hosts>
    Then the run inside the partition <fate>

    Examples:
      | silent | hosts                                                | fate                                    |
      | 9      | does not answer                                      | is waited for                           |
      | 9      | answers from one host that knows no job              | counts as lost                          |
      | 9      | answers from one host that knows the job as complete | counts as lost, and its job as complete |
      | 0.3    | does not answer                                      | counts as lost                          |
      | 61     | does not answer                                      | counts as lost                          |

  Scenario: A zone without known hosts
    Given an owner whose runner in south has been silent for 9 s
    When south, with 0 hosts, does not answer
    Then the run inside the partition counts as lost

  Scenario: Queries to a zone that does not answer are limited
    Given an owner whose runner in south has been silent for 9 s
    When south, with 2 hosts, does not answer 20 times within 0.2 s
    Then 2 queries were sent to the zone

  Scenario Outline: Hosts that follow the runner list to answer for their zone
    Given 20 hosts in north and 20 smaller ones in south
    Then host <number> of <zone> follows the runner list: <follows>

    Examples:
      | number | zone  | follows |
      | 1      | north | yes     |
      | 9      | north | yes     |
      | 10     | north | no      |
      | 1      | south | yes     |
      | 2      | south | yes     |
      | 3      | south | no      |

  # Guards against losing the end of a job that only hosts of the zone know after its runner left.
  Scenario Outline: A host reports a job that it has shown as complete inside a partition
    Given a host that is cut off with its zone, beside a host that is cut off as well
    And a runner of its zone that lists as done the job's only task
    When a client asks for the job
    And the partition heals, the owner <answers>, and the store <shows> the job's end
    Then the job is reported <times> times within 2 seconds

    Examples:
      | answers            | shows         | times |
      | accepts the report | already shows | 0     |
      | accepts the report | does not show | 4     |
      | does not answer    | does not show | 4     |
      | is not known       | does not show | 0     |
      | is the host itself | does not show | 0     |

  Scenario Outline: A host receives a report from inside a partition
    Given a host that <is>
    When a peer reports the job as complete inside a partition
    Then the host <answer> the report, <knows> and <tells> it to a later owner

    Examples:
      | is                                      | answer  | knows                     | tells         |
      | owns the cell                           | accepts | marks the job as complete | does not tell |
      | owns the cell inside the same partition | accepts | marks the job as complete | tells         |
      | is inside the same partition            | accepts | does not own it           | tells         |
      | is neither the owner nor cut off        | refuses | does not own it           | does not tell |
