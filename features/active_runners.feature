Feature: Which runners an owner attends to

  # Guards against an owner whose whole processor goes into looks at idle runners.
  Scenario Outline: How many runners are attended to
    Given <listed> runners of 16 cores in 4 zones, racks of 12
    When <used> cores are in use
    Then <active> runners are attended to

    Examples:
      | listed | used | active |
      | 24     | 0    | 24     |
      | 400    | 6000 | 400    |
      | 3000   | 0    | 400    |
      | 3000   | 3000 | 400    |
      | 3000   | 6000 | 750    |

  Scenario: The runners that are attended to are whole racks of all zones
    Given 3000 runners of 16 cores in 4 zones, racks of 12
    When 0 cores are in use
    Then each zone has 90 to 110 of them, in no more than 10 racks

  # Guards against a task that waits for ever beside runners that suit it.
  Scenario: A step requires a label that none of them has
    Given 3000 runners of 16 cores in 4 zones, racks of 12
    And 100 more have the label gpu and none of them is attended to
    When a job comes that requires the label gpu
    Then 50 runners with that label are attended to

  # Guards against a runner that is left while something may be there.
  Scenario Outline: A runner that is not needed any more
    Given 3000 runners of 16 cores in 4 zones, racks of 12
    And 6000 cores were in use, and now <what>
    Then the runner x <fate>

    Examples:
      | what                                   | fate           |
      | nothing is in use                      | may be left    |
      | a task runs on x                      | is attended to |
      | a start on x is in doubt              | is attended to |
      | an end on x is not yet acknowledged   | is attended to |
      | x may hold tasks of a former owner    | is attended to |

  # Guards against looks that go on at a runner that was left and taken again.
  Scenario: A runner is left and taken again while a look waits there
    Given an owner that looks at a runner
    When the runner is left and taken again while the look waits
    Then one look is under way there, by what is known of it now
