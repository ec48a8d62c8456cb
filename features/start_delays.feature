Feature: A gang that is ready starts in time, or the log says what it waits for

  # Guards against a gang that waits with free capacity and no log line that says for what.
  Scenario Outline: An overdue gang is logged with what it waits for
    Given a gang whose <wait> is missing
    When it has been ready for 1 s
    Then the log says that it waits for <reason>
    And it says so again 4 s later at the earliest

    Examples:
      | wait         | reason                                        |
      | capacity     | capacity on the allowed runners               |
      | answer       | an answer of the policy service               |
      | allowed set  | more runners that are known to be allowed     |
      | ticket       | new tickets for allowed runners               |
      | record       | its job to be stored                          |
      | former end   | former runs of its members                    |
      | reservation  | runners that are reserved for other gangs     |
      | fast runner  | faster runners                                |
      | runner       | a usable runner                               |
