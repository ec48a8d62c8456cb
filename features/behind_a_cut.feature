Feature: Runs in an availability zone that is cut off

  Scenario Outline: A lease expires, or a runner crashes, inside a partition
    Given an owner whose runner in south has been silent for <silent> s
    When south, with 2 hosts, <hosts>
    Then the run inside the partition <fate>

    Examples:
      | silent | hosts                 | fate           |
      | 9      | does not answer       | is waited for  |
      | 9      | answers from one host | counts as lost |
      | 0.3    | does not answer       | counts as lost |
      | 61     | does not answer       | counts as lost |

  Scenario: A zone without known hosts
    Given an owner whose runner in south has been silent for 9 s
    When south, with 0 hosts, does not answer
    Then the run inside the partition counts as lost

  Scenario: Queries to a zone that does not answer are limited
    Given an owner whose runner in south has been silent for 9 s
    When south, with 2 hosts, does not answer 20 times within 0.2 s
    Then 2 queries were sent to the zone

  Scenario Outline: Hosts that follow the runner list
    Given 20 hosts in north and 20 smaller ones in south
    Then host <number> of <zone> follows the runner list: <follows>

    Examples:
      | number | zone  | follows |
      | 1      | north | yes     |
      | 9      | north | yes     |
      | 10     | north | no      |
      | 1      | south | no      |
