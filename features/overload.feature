Feature: An owner that is short of processor time

  # Guards against urgent starts that are sent behind hundreds of others.
  Scenario: More is decided than runners answer
    Given an owner whose runners take long to answer
    When 300 batch tasks wait and then an urgent one comes
    Then no more than 64 starts are under way at any time
    And the urgent one is sent before half of the others
    And all of them are started in the end, in few plans

  # Guards against starts that runners have to reject, and that keep their tasks from others.
  Scenario Outline: A start that waits for its turn
    Given an owner with a start that carries a ticket for 2 s
    When the start's turn comes <seconds> s later
    Then the start is <fate>

    Examples:
      | seconds | fate     |
      | 1       | sent     |
      | 2.5     | not sent |
