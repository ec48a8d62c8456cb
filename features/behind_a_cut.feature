Feature: Jobs of a zone that is cut off

  # Guards against telling a client inside a partition that its job is complete on too little proof.
  Scenario Outline: What proves that a job of two steps is complete
    Given a job of two tasks, and then a gang of three, of which <stored> stand in the store
    When a runner of the zone lists <listed>
    Then by these facts the job is <verdict>

    Examples:
      | stored       | listed                      | verdict      |
      | both tasks   | the gang's first as done    | complete     |
      | the first    | the second and the gang     | complete     |
      | both tasks   | nothing                     | not complete |
      | the first    | the gang's first as done    | not complete |
      | both tasks   | the gang's first as failed  | not complete |
      | no tasks     | the second and the gang     | not complete |

  Scenario Outline: Jobs of which nothing is said
    Given a job <kind>, whose first tasks are listed as done
    Then by these facts the job is not complete

    Examples:
      | kind                  |
      | with a schedule       |
      | of tasks that last    |

  Scenario Outline: A client of the zone asks for its job
    Given a host that is <where>, beside <peer>
    And a runner of its zone that <runner> the job's only task
    When a client asks for the job
    Then behind the cut it is told <state>
    And no lease was renewed and no end acknowledged

    Examples:
      | where                                  | peer                          | runner        | state       |
      | cut off with its zone                  | a host that is cut off as well | lists as done | completed   |
      | cut off with its zone                  | a host that is cut off as well | still runs    | nothing new |
      | cut off with its zone                  | a host that is cut off as well | says nothing of | nothing new |
      | cut off with its zone                  | a host that is cut off as well | knows a later owner of | nothing new |
      | cut off with its zone                  | a host that hears other zones | lists as done | nothing new |
      | cut off with its zone                  | no other host                 | lists as done | nothing new |
      | in touch with other zones              | a host that is cut off as well | lists as done | nothing new |
      | cut off, and was asked by the owner    | a host that is cut off as well | lists as done | nothing new |
      | asked by the owner while it tells its peer | a host that is cut off as well | lists as done | nothing new |

  Scenario: Many clients ask at once
    Given a host that is cut off with its zone, beside a host that is cut off as well
    And a runner of its zone that lists as done the job's only task
    When 10 clients ask for the job within 0.1 s
    Then the runner was looked at once

  # Guards against starting a task again whose job a client inside a partition holds for complete.
  Scenario Outline: A lease runs out, or a runner has crashed, behind a cut
    Given an owner whose runner in south has been silent for <silent> s
    When south, with 2 hosts, <hosts>
    Then the run behind the cut <fate>

    Examples:
      | silent | hosts                                  | fate                         |
      | 9      | does not answer                        | is waited for                |
      | 9      | answers from one host that knows nothing | counts as lost             |
      | 9      | answers from one host that knows the job as complete | counts as lost, and its job as complete |
      | 0.3    | does not answer                        | counts as lost               |
      | 61     | does not answer                        | counts as lost               |

  Scenario: A zone of which no other host is known
    Given an owner whose runner in south has been silent for 9 s
    When south, with 0 hosts, does not answer
    Then the run behind the cut counts as lost

  Scenario: Questions to a zone that does not answer
    Given an owner whose runner in south has been silent for 9 s
    When south, with 2 hosts, does not answer 20 times within 0.2 s
    Then 2 questions were put to it

  Scenario Outline: Who keeps the list of runners, to speak for its zone
    Given 20 hosts in north and 20 smaller ones in south
    Then number <place> of <zone> keeps the list of runners <keeps>

    Examples:
      | place | zone  | keeps |
      | 1     | north | yes   |
      | 9     | north | yes   |
      | 10    | north | no    |
      | 1     | south | yes   |
      | 2     | south | yes   |
      | 3     | south | no    |

  # Guards against losing what only a zone's hosts know once the runner with the end has left.
  Scenario Outline: A host reports what it has shown behind a cut
    Given a host that is cut off with its zone, beside a host that is cut off as well
    And a runner of its zone that lists as done the job's only task
    When a client asks for the job
    And the cut heals, where the owner <answers>, and the store <shows> the job's end
    Then the job is reported <times> times within 2 seconds

    Examples:
      | answers                     | shows          | times |
      | takes what it is told       | shows at once  | 0     |
      | takes what it is told       | does not show  | 4     |
      | does not answer             | does not show  | 4     |
      | is not known                | does not show  | 0     |
      | is the host itself          | does not show  | 0     |

  Scenario Outline: A host is told what was seen behind a cut
    Given a host that <is>
    When a peer reports the job as seen behind a cut
    Then the host <answer>, <knows> and <tells> it to a later owner

    Examples:
      | is                                       | answer      | knows                       | tells        |
      | owns the cell                            | takes it    | has the job as complete     | does not tell |
      | owns the cell behind the same cut        | takes it    | has the job as complete     | tells        |
      | is behind the same cut                   | takes it    | does not own it             | tells        |
      | is neither                               | refuses it  | does not own it             | does not tell |
