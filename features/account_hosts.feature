Feature: Client accounts on real entry hosts

  Real hosts, one process each, against a platform that speaks keys and quotas.

  # Guards against calls that are refused while an operator rotates keys.
  Scenario: Keys are rotated while jobs come
    Given 3 entry hosts and the account blue with the key old
    When jobs are handed in everywhere while the key becomes old and new, then new
    Then none was refused for its key, and all of them are completed
    And the key old is refused everywhere
    And no log names a key

  # Guards against a revoked key at a host that only reads the store.
  Scenario: The store turns a host away while a key is revoked
    Given 3 entry hosts and the account blue with the key old
    When the store no longer answers the first host, and the key becomes new
    Then the key old is refused everywhere

  # Guards against an account that has more running than its quota, whoever owns the cell.
  Scenario: The owner is killed while an account is at its quota
    Given 3 entry hosts and the account blue with a quota of 3 cores
    When 12 jobs of 1 core for 0.4 s are handed in and the owner is killed while they run
    Then all of them are completed by the other hosts, and no start was over the quota
    And the tool shows the account blue with its quota, from any host

  # Guards against an answer that tells of another account's job.
  Scenario: Another account asks for a job
    Given 3 entry hosts and the accounts blue and red
    When blue hands in a job, and red asks every host for it and cancels it
    Then red is told that there is no such job, and blue that it is completed
