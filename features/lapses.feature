Feature: Jobs that are lost with their workers

  # Guards against starting a task for ever whose attempts lapse without a report.
  Scenario Outline: An attempt is lost with its worker
    Given a job of 3 tries whose attempts ended <earlier>
    When its next attempt ends as lapsed
    Then that attempt is told as <outcome>

    Examples:
      | earlier                          | outcome |
      | not at all                       | lapsed  |
      | lapsed                           | lapsed  |
      | lapsed, lapsed                   | failed  |
      | lapsed, not_started, lapsed      | failed  |
      | lapsed, lapsed, failed, failed   | failed  |
      | lapsed, stopped, lapsed          | lapsed  |
      | lapsed, lapsed an hour before    | lapsed  |

  Scenario: A job whose workers are lost each time ends
    Given a job of 3 tries whose attempts ended not at all
    When each of its attempts ends as lapsed
    Then it is parked after 5 attempts
