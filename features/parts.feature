Feature: Single components that protect a guarantee

  # A dispatcher with an outdated view may overcommit a worker; the ledger must refuse.
  Scenario Outline: A ledger of 8 processors at level <level>
    Given a ledger of 8 processors with <former> allocated by a former owner and <own> by its owner
    When <demand> processors are requested at level <level>
    Then the ledger allows it: <allowed>

    Examples:
      | level      | former | own | demand | allowed |
      | whole      | 0      | 4   | 4      | yes     |
      | whole      | 0      | 4   | 5      | no      |
      | whole      | 6      | 1   | 2      | no      |
      | own_half   | 0      | 2   | 2      | yes     |
      | own_half   | 0      | 2   | 3      | no      |
      | other_half | 0      | 0   | 4      | yes     |
      | other_half | 0      | 0   | 5      | no      |
      | other_half | 6      | 0   | 2      | yes     |
      | other_half | 6      | 0   | 3      | no      |
      | other_half | 2      | 3   | 2      | no      |
      | none       | 0      | 0   | 1      | no      |

  # A new owner must list the tasks of a worker before it allocates anything there.
  Scenario: A worker that was not listed since the claim
    Given a ledger of 8 processors with 0 allocated by a former owner and 0 by its owner
    When 1 processors are requested under a grant that is newer than the task list
    Then the ledger allows it: no

  # A start whose answer was lost may still reach the worker, so a task list without it
  # must not release its resources.
  Scenario: A start with an unknown outcome is not released by a task list
    Given a ledger of 8 processors with 0 allocated by a former owner and 0 by its owner
    When a start of 6 processors has an unknown outcome and the task list lacks it
    And 4 processors are requested at level whole
    Then the ledger allows it: no

  # An intent whose write timed out may still be appended to the log after its
  # replacement; only the first of one attempt counts.
  Scenario: An intent whose write timed out is appended after all
    Given a job and a dispatcher of epoch 1
    When its intent for w1 is appended, and then one for w2 with the same attempt
    Then the job matches the intent for w1 and not the one for w2

  # A dispatcher that was replaced may still write; its intent has an old epoch.
  Scenario: An intent of a former dispatcher is appended after its successor's claim
    Given a job and a dispatcher of epoch 1
    When another dispatcher claims the shard, and then an intent of the former one for w1 is appended
    Then the job still waits

  # An append that was repeated because its answer was lost leaves two copies in the log.
  Scenario: A record that is in the log twice is processed once
    Then a reader of a log with records 0, 1, 1, 0, 2 handles 0, 1, 2

  # A log that was truncated recently may lack claims whose owners are alive.
  Scenario: A reader that begins in the middle covers only what it has read
    Then a reader of a truncated log covers the last 10 seconds only after that time

  # A view must hold only members that this one knows itself. With those that peers report,
  # views would grow with every exchange.
  Scenario: A view names only members known at first hand
    Given a member that knows of one other
    When the other's view names a third member that it does not know
    Then it has no evidence, and its own view names two members
    When it learns of the third and both send a promise
    Then it has evidence, and its own view names three members

  Scenario Outline: A limit of <count> concurrent requests is divided among the daemons of 3 zones
    Then the shares of <count> over zones with <daemons> daemons add up to at most <count>

    Examples:
      | count | daemons |
      | 0     | 1       |
      | 1     | 3       |
      | 7     | 3       |
      | 64    | 5       |
      | 400   | 12      |
