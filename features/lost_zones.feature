Feature: An availability zone is lost

  # Guards against jobs that wait because no host of a lost zone answers.
  Scenario Outline: A runner of a zone without hosts
    Given an owner whose runner in a zone without hosts <state>
    Then the runs there <fate>

    Examples:
      | state                           | fate              |
      | has been silent for 8 s         | are kept          |
      | has been silent for 9 s         | are started again |
      | has restarted under another id  | are started again |

  # Guards against a successor that waits for the hosts of a lost zone.
  Scenario: The list of runners in use names one of a zone without hosts
    Given a new owner, and a runner in use in a zone whose hosts do not answer
    Then the jobs there are blocked until the leases of earlier owners have expired, and not longer

  # Guards against jobs without a run later than a job may be without one (finish_s, 14 s).
  Scenario Outline: A zone is lost with its hosts and its runners
    Given the platform in three zones with 6 entry hosts and 6 runners
    When 12 jobs of 2 tasks run, and <zone> is lost for good
    Then the tasks that ran there run again in other zones within 14 s
    And all of them are completed
    And no task ran twice and no runner exceeded its capacity

    Examples:
      | zone                     |
      | a zone without the owner |
      | the owner's zone         |
