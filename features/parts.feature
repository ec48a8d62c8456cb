Feature: Parts that guard a promise, one at a time

  # Guards against overfilling a worker by a dispatcher's old picture.
  Scenario Outline: A ledger of 8 processors at level <level>
    Given a ledger of 8 processors that holds <theirs> of a former owner and <mine> of its own
    When <asked> processors are asked for at level <level>
    Then the ledger answers <answer>

    Examples:
      | level      | theirs | mine | asked | answer |
      | whole      | 0      | 4    | 4     | yes    |
      | whole      | 0      | 4    | 5     | no     |
      | whole      | 6      | 1    | 2     | no     |
      | own_half   | 0      | 2    | 2     | yes    |
      | own_half   | 0      | 2    | 3     | no     |
      | other_half | 0      | 0    | 4     | yes    |
      | other_half | 0      | 0    | 5     | no     |
      | other_half | 6      | 0    | 2     | yes    |
      | other_half | 6      | 0    | 3     | no     |
      | other_half | 2      | 3    | 2     | no     |
      | none       | 0      | 0    | 1     | no     |

  # A claimant may use a worker only as it was listed after the claim took effect.
  Scenario: A worker that was not listed since the claim
    Given a ledger of 8 processors that holds 0 of a former owner and 0 of its own
    When 1 processors are asked for under a grant later than the listing
    Then the ledger answers no

  # A start whose answer was lost stays counted although a listing lacks it.
  Scenario: A start in doubt is not released by a listing
    Given a ledger of 8 processors that holds 0 of a former owner and 0 of its own
    When a start of 6 processors is in doubt and a listing lacks it
    And 4 processors are asked for at level whole
    Then the ledger answers no

  # Guards against an intent that lands after it was given up.
  Scenario: An intent that was given up has landed after all
    Given a job and a dispatcher of epoch 1
    When its intent for w1 lands, and then one for w2 with the same attempt
    Then the job runs by the intent for w1 and not by the one for w2

  # A dispatcher that has been replaced writes late.
  Scenario: An intent of a former dispatcher lands after its successor's claim
    Given a job and a dispatcher of epoch 1
    When another dispatcher claims, and then its intent for w1 lands
    Then the job still waits

  # An append whose answer was lost and that was written again stands twice.
  Scenario: A record that stands twice in the log is folded once
    Then a reader of a log with records 0, 1, 1, 0, 2 folds 0, 1, 2

  # A log that was truncated just now may lack claims whose owners live.
  Scenario: A reader that begins in the middle covers only what it has read
    Then a reader of a truncated log covers 10 seconds only after as long

  # Guards against views that grow with what peers pass on.
  Scenario: A view names only members known at first hand
    Given a member that knows of one other
    When the other's view names a third that it does not know
    Then it has no evidence, and its own view names two members
    When it learns of the third and is promised by both
    Then it has evidence, and its own view names three members

  Scenario Outline: <count> requests at a time divided over the daemons of 3 zones
    Then the parts of <count> over zones with <daemons> daemons add up to at most <count>

    Examples:
      | count | daemons |
      | 0     | 1       |
      | 1     | 3       |
      | 7     | 3       |
      | 64    | 5       |
      | 400   | 12      |
