Feature: Which runners an owner polls

  # Guards against an owner that spends its whole CPU on polling idle runners.
  Scenario Outline: Number of runners that are polled
    Given <listed> runners of 16 cores in 4 zones, racks of 12
    When <used> cores are in use
    Then <active> runners are polled

    Examples:
      | listed | used | active |
      | 24     | 0    | 24     |
      | 400    | 6000 | 400    |
      | 3000   | 0    | 400    |
      | 3000   | 3000 | 400    |
      | 3000   | 6000 | 750    |

  Scenario: The polled runners are whole racks in all zones
    Given 3000 runners of 16 cores in 4 zones, racks of 12
    When 0 cores are in use
    Then each zone has 90 to 110 of them, in no more than 10 racks

  # Guards against a task that waits forever while the only eligible runners are not polled.
  Scenario: A step requires a label that no polled runner has
    Given 3000 runners of 16 cores in 4 zones, racks of 12
    And 100 more have the label gpu and none of them is polled
    When a job that requires the label gpu is submitted
    Then 50 runners with that label are polled

  # Guards against releasing a runner that may still hold runs or unacknowledged ends.
  Scenario Outline: Release of a surplus runner
    Given 3000 runners of 16 cores in 4 zones, racks of 12
    And 6000 cores were in use, and now <what>
    Then the runner x <fate>

    Examples:
      | what                                | fate            |
      | nothing is in use                   | may be released |
      | a task runs on x                    | is still polled |
      | a start on x has an unknown outcome | is still polled |
      | an end on x is not yet acknowledged | is still polled |
      | x may hold tasks of a former owner  | is still polled |

  # Guards against polls that continue for a runner that was released and added again.
  Scenario: A runner is released and added again during a poll
    Given an owner that polls a runner
    When the runner is released and added again during the poll
    Then one poll is in progress there, and it updates the current state of the runner
