Feature: Review how jobs were served, from the logs of all hosts

  # Guards against a review that does not show the operator why jobs were late.
  Scenario Outline: Why a job was <verdict>: <reason>
    Given the logs of hosts in three zones, in which <what>
    When they are reviewed
    Then the review reports the job as <verdict>, because: <reason>

    Examples:
      | what                                            | verdict  | reason                                |
      | no host accepts the job while the store is down | refused  | the store was away: not accepted      |
      | the hosts of one zone refuse the job            | refused  | its zone was cut off: not accepted    |
      | one host refuses the job                        | refused  | its host was without the store        |
      | the job ends while the store is down            | too late | the store was away: end not shown     |
      | the end of the job takes a second to store      | late     | the store was slow                    |
      | the job runs in a zone that is cut off          | too late | it ran behind a cut                   |
      | all hosts are down for two seconds              | late     | all hosts were down                   |
      | the owner is replaced before the job starts     | late     | the owner was replaced                |
      | the runner of the job does not answer           | late     | its runner did not answer or was lost |
      | a run of the job fails                          | late     | a run of it failed                    |
      | the job waits for its first start               | late     | it waited for advice, seats or its gang |
      | the job runs longer than declared               | late     | it ran longer than declared           |
      | the job waits for its account's quota           | late     | its account's quota                   |
      | the job is beyond its account's share           | late     | its account's share                   |
      | the owner refuses the job for overload          | refused  | refused: too much work was waiting    |
      | the owner refuses the job for its account's quota | refused | refused: its account's quota was in use |
      | the owner refuses the job at first              | late     | refused: too much work was waiting    |

  Scenario: Jobs that were in time or cancelled
    Given the logs of hosts in three zones, in which the job is in time
    And the logs of hosts in three zones, in which the job is cancelled
    When they are reviewed
    Then the review reports no late job

  Scenario: Logs that name no job
    Given a log of a host that only starts
    When they are reviewed
    Then the tool reports in one line that no line tells of a job

  Scenario: A log with truncated lines
    Given the logs of hosts in three zones, in which one host refuses the job
    And a log with 2 lines that can't be read
    When they are reviewed
    Then the review reports the job as refused, because: its host was without the store
    And the review counts 2 bad lines
