Feature: Each plug-in implements its interface completely

  Scenario Outline: The log with the <plugin> plug-in
    Given a log by the <plugin> plug-in
    Then offsets are consecutive and a read returns what was appended
    And a read at the tail waits and returns nothing
    And records of one append are consecutive and in order
    And a read before the oldest record fails with the oldest available offset

    Examples:
      | plugin |
      | memory |
      | http   |

  Scenario Outline: Faults of the log over HTTP: <fault>
    Given a log by the http plug-in
    When the log has the fault <fault>
    Then an append fails with verdict <verdict> and took effect: <effect>

    Examples:
      | fault               | verdict | effect |
      | {"outage": true}    | unknown | no     |
      | {"lose_answers": 1} | unknown | yes    |

  Scenario: No process listens at the log's address
    Given a log by the http plug-in whose server was stopped
    Then an append fails with verdict not_run and took effect: no

  Scenario Outline: A worker with the <plugin> plug-in
    Given a worker by the <plugin> plug-in
    Then a started task runs, is listed, and ends with its outcome
    And a second start with the same id is refused with verdict not_run
    And a start that arrives after its stop is refused
    And a task whose lease is not renewed lapses
    And a task whose lease is renewed runs to its end

    Examples:
      | plugin |
      | memory |
      | http   |

  Scenario: A group of records is processed once although responses to its appends are lost
    Given a log by the http plug-in
    When the log has the fault {"lose_answers": 3}
    Then 20 records written at once are each processed once and in order

  Scenario Outline: The host list with the <plugin> plug-in
    Given a host list by the <plugin> plug-in with a worker and an entry host elsewhere
    Then it returns both hosts, also while the list is unchanged

    Examples:
      | plugin |
      | static |
      | http   |

  Scenario: The host list changes and fails
    Given a host list by the http plug-in with a worker and an entry host elsewhere
    Then a leaving worker is reported, a read in an outage fails, and the next one succeeds
