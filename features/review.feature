Feature: How the jobs of an hour were served, told from the logs of all hosts

  # Guards against an operator who cannot tell why jobs were late.
  Scenario Outline: Why a job was <verdict>: <reason>
    Given the logs of hosts in three zones, in which <what>
    When they are reviewed
    Then its job is said to be <verdict>, since <reason>

    Examples:
      | what                                            | verdict  | reason                                |
      | nobody takes the job while the store is away    | refused  | the store was away: not accepted      |
      | the hosts of one zone turn the job away         | refused  | its zone was cut off: not accepted    |
      | one host turns the job away                     | refused  | its host was without the store        |
      | the job ends while the store is away            | too late | the store was away: end not shown     |
      | the end of the job takes a second to store      | late     | the store was slow                    |
      | the job runs in a zone that is cut off          | too late | it ran behind a cut                   |
      | all hosts are down for two seconds              | late     | all hosts were down                   |
      | the owner is replaced before the job starts     | late     | the owner was replaced                |
      | the runner of the job does not answer           | late     | its runner did not answer or was lost |
      | a run of the job fails                          | late     | a run of it failed                    |
      | the job waits for its first start               | late     | it waited for advice, seats or its gang |
      | the job runs longer than its queue thought      | late     | it ran longer than declared           |
      | the job waits for its account's quota           | late     | its account's quota                   |
      | the job is beyond its account's share           | late     | its account's share                   |

  Scenario: Jobs that need no reason
    Given the logs of hosts in three zones, in which all goes well
    And the logs of hosts in three zones, in which the job is cancelled
    When they are reviewed
    Then no job is said to be late

  Scenario: Logs that tell of no job
    Given a log of a host that only starts
    When they are reviewed
    Then the tool says in one line that no line tells of a job

  Scenario: A log that is cut and has lines of another program
    Given the logs of hosts in three zones, in which one host turns the job away
    And a log with 2 lines that can't be read
    When they are reviewed
    Then its job is said to be refused, since its host was without the store
    And 2 lines are said to be bad
