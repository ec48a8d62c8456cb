Feature: Jobs that are lost with their workers

  # Guards against restarting a job forever that crashes every worker it runs on: its attempts
  # end with their leases, without a reported failure.
  Scenario Outline: An attempt of a job is lost with its worker
    Given a job with a limit of 3 failures whose attempts ended <earlier>
    When its next attempt ends as lapsed
    Then that attempt counts as <outcome>

    Examples:
      | earlier                          | outcome |
      | not at all                       | lapsed  |
      | lapsed                           | lapsed  |
      | lapsed, lapsed                   | failed  |
      | lapsed, not_started, lapsed      | failed  |
      | lapsed, lapsed, failed, failed   | failed  |
      | lapsed, stopped, lapsed          | lapsed  |
      | lapsed, lapsed an hour before    | lapsed  |

  Scenario: A job whose worker is lost on each attempt is parked
    Given a job with a limit of 3 failures whose attempts ended not at all
    When each of its attempts ends as lapsed
    Then it is parked after 5 attempts
