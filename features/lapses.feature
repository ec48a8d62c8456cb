Feature: Jobs that are lost with their workers

  # A customer's rebuild crashed each worker that started it. Its attempts lapsed with their
  # leases, and only failed ones were counted, so a job whose customer had set three tries
  # was started for ever. A limit on tries has to hold for what nobody reports, too.
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
