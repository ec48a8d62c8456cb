Feature: Client accounts on real entry hosts

  Real hosts, one process each, against a stand-in platform with API keys and quotas.

  # Guards against refusing valid requests while an operator rotates API keys.
  Scenario: Keys are rotated while jobs are submitted
    Given 3 entry hosts and the account blue with the key old
    When jobs are submitted to all hosts while the keys become old and new, then only new
    Then no job is refused because of its key, and all of them are completed
    And the key old is refused everywhere
    And no log contains a key

  # Guards against a host that goes on accepting a revoked key because it cannot read the store.
  Scenario: A key is revoked while a host cannot reach the store
    Given 3 entry hosts and the account blue with the key old
    When the first host is cut off from the store, and the key becomes new
    Then the key old is refused everywhere

  # Guards against exceeding the quota of an account when another host becomes the owner.
  Scenario: The owner is killed while an account is at its quota
    Given 3 entry hosts and the account blue with a quota of 3 cores
    When 12 jobs of 1 core for 0.4 s are submitted and the owner is killed while they run
    Then all of them are completed by the other hosts, and no start exceeded the quota
    And the tool shows the account blue with its quota on every host

  # Guards against revealing the jobs of one account to another.
  Scenario: Another account asks for a job
    Given 3 entry hosts and the accounts blue and red
    When blue submits a job, and red queries and cancels it at every host
    Then red is told that the job does not exist, and blue that it is completed
