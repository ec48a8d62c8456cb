Feature: What the owner and CI tell

  # On-call engineers saw urgent jobs late for half a minute and no line that told why:
  # full runners, runners that do not answer, tickets or the owner's own processor.
  Scenario: Tasks wait beside runners that are full
    Given an owner of 2 runners, both full, and a job that waits
    When it has planned for a second
    Then one line tells that 1 task of urgent waits with 0 cores free of 64

  Scenario: A job whose runner has not been seen yet
    Given an owner of 2 runners and a job that may run on one it has not seen
    When it has planned for a second
    Then one line tells that 1 task is blocked

  Scenario: Nothing waits
    Given an owner of 2 runners without jobs
    When it has planned for a second
    Then it tells nothing of tasks that wait

  Scenario: More known failures than may stand
    Given a list of known failures of 4 lines
    Then CI does not take the list

  Scenario: A known failure of one row of an outline
    Given a list of known failures of 1 line
    Then a row of its outline is known, and another scenario is not
