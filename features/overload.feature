Feature: An owner that is short of processor time

  # Guards against urgent starts that are sent after hundreds of others.
  Scenario: The planner decides on starts faster than runners answer them
    Given an owner whose runners take long to answer
    When 300 batch tasks wait and then an urgent one arrives
    Then no more than 64 starts are pending at any time
    And the urgent one is sent before half of the batch tasks
    And all of them are started in the end, in few plans

  # Guards against starts with expired tickets, which runners reject and which delay their tasks.
  Scenario Outline: A start that has to wait before it is sent
    Given an owner with a start that carries a ticket for 2 s
    When the start can be sent <seconds> s later
    Then the start is <fate>

    Examples:
      | seconds | fate     |
      | 1       | sent     |
      | 2.5     | not sent |
