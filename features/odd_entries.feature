Feature: Odd entries of other writers on the whole path

  # Guards against one odd entry that ends a daemon, or hides later changes of the host list.
  Scenario Outline: The host list has an odd entry: <odd>
    Given a daemon whose host list has an odd entry: <odd>
    Then it is ready, runs a job and counts 1 unusable host
    And it learns that another host leaves

    Examples:
      | odd                           |
      | a value nested 400 deep       |
      | a value nested 100000 deep    |
      | port 99999                    |
      | a port of 400 digits          |
      | a port of 5000 digits         |
      | an address that is a name     |
      | a capacity of 1e308           |
      | text that is not UTF-8        |
      | null                          |

  # Guards against starting the tasks of a worker elsewhere because of an odd entry of its name.
  Scenario Outline: The entry of a worker becomes odd: <odd>
    When the entry of a listed worker becomes odd, and then valid: <odd>
    Then its last known entry is kept in between

    Examples:
      | odd                           |
      | a value nested 100000 deep    |
      | port 99999                    |
      | a port of 400 digits          |
