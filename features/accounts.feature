Feature: Client accounts and their API keys

  # Guards against calls that are served without a key, and against refusals that tell why.
  Scenario Outline: What a call must bring
    Given a front with the accounts blue and red
    When the jobs are counted with the headers <headers>
    Then the answer is a <status>, and the log names no key

    Examples: served
      | headers                                   | status |
      | Authorization: Bearer blue-key-1          | 200    |
      | Authorization: Bearer blue-key-2          | 200    |
      | Authorization: bearer red-key-1           | 200    |
      | Authorization: BEARER red-key-1           | 200    |
      | Authorization: Bearer   red-key-1         | 200    |

    Examples: not served
      | headers                                                          | status |
      | none                                                             | 401    |
      | Authorization: Bearer green-key-1                                | 401    |
      | Authorization: Bearer BLUE-KEY-1                                 | 401    |
      | Authorization: Bearer blue-key-1x                                | 401    |
      | Authorization: Bearer blue-key-1 x                               | 401    |
      | Authorization: Bearer                                            | 401    |
      | Authorization: blue-key-1                                        | 401    |
      | Authorization: Basic blue-key-1                                  | 401    |
      | Authorization: Bearerblue-key-1                                  | 401    |
      | Authorization: Bearer blüe                                       | 401    |
      | X-Api-Key: blue-key-1                                            | 401    |
      | Authorization: Bearer blue-key-1, Authorization: Bearer red-key-1 | 401   |
      | Authorization: Bearer blue-key-1, Authorization: Bearer blue-key-1 | 401  |
      | Authorization: Bearer 100 kB                                     | 401    |

  # Guards against a key that is let in for its form, and against an answer that differs.
  Scenario: Whatever stands in the header, only a known key is let in
    Given a front with the accounts blue and red
    Then drawn headers are answered alike unless they carry a known key

  Scenario: A public queue needs no key
    Given a front with the accounts blue and red
    When the jobs of the public queue are counted without a key
    Then the answer is a 200, and the log names no key

  Scenario: Without accounts in the configuration no key is needed
    Given a front without accounts
    When the jobs are counted with the headers none
    Then the answer is a 200, and the log names no key

  # Guards against a 401 for a key that was added where this host has not read it yet.
  Scenario Outline: A key that this host does not know
    Given a front with the accounts blue and red
    And peers that <peers>
    When the jobs are counted with the headers Authorization: Bearer new-key
    Then the answer is a <status>, and the log names no key

    Examples:
      | peers                                      | status |
      | have a configuration with that key         | 200    |
      | have the same configuration                | 401    |
      | do not answer while the store is silent    | 503    |
      | do not answer while the store serves       | 401    |

  # Guards against load from unknown keys: they share one question to peers.
  Scenario: A hundred unknown keys
    Given a front with the accounts blue and red
    And peers that have the same configuration
    When a hundred calls come with unknown keys
    Then peers were asked once

  # Guards against a relayed call that is served by the older of two configurations.
  Scenario Outline: A call that a peer passes on
    Given a front with the accounts blue and red, in version 5
    When a peer that has version <version> passes on a call of <caller> with <key>
    Then the answer is a <status>, and the log names no key

    Examples:
      | version | caller | key         | status |
      | 5       | blue   | blue-key-1  | 200    |
      | 4       | blue   | blue-key-1  | 200    |
      | 4       | blue   | removed-key | 401    |
      | 6       | green  | added-key   | 200    |

  # Guards against a revoked key that a host lets in that has long heard of nothing.
  Scenario Outline: A host that may be behind
    Given a front with the accounts blue and red, of which a newer version may be <age> s old
    And keys are checked by configurations of <limit>
    When the jobs are counted with the headers Authorization: Bearer blue-key-1
    Then the answer is a <status>, and the log names no key

    Examples:
      | age | limit      | status |
      | 3   | 5 s        | 200    |
      | 6   | 5 s        | 503    |
      | 60  | any age    | 200    |

  # Guards against an account that learns of another one's job.
  Scenario Outline: A job of the account blue
    Given a front with the accounts blue and red
    And a job of <owner> that is <state>
    When <caller> asks by <method>
    Then the answer is a <status>, and the log names no key

    Examples:
      | owner   | state     | caller | method | status |
      | blue    | queued    | blue   | GET    | 200    |
      | blue    | completed | blue   | GET    | 200    |
      | blue    | queued    | red    | GET    | 410    |
      | blue    | completed | red    | GET    | 410    |
      | blue    | queued    | red    | DELETE | 410    |
      | blue    | completed | red    | DELETE | 410    |
      | blue    | queued    | red    | POST   | 409    |
      | blue    | completed | red    | POST   | 409    |
      | blue    | completed | blue   | DELETE | 200    |
      | blue    | completed | blue   | POST   | 200    |
      | nobody  | completed | red    | GET    | 200    |

  # Guards against a job that waits for ever as its account may never run a part of it.
  Scenario Outline: A job that never fits its account's quota
    Given a front with the accounts blue and red
    When blue hands in a step of <count> <kind> of <cpu> cores, of 8 that it may have running
    Then the answer is a <status>, and the log names no key

    Examples:
      | count | kind           | cpu | status |
      | 1     | tasks          | 9   | 429    |
      | 20    | tasks          | 8   | 503    |
      | 3     | gang members   | 3   | 429    |
      | 2     | gang members   | 4   | 503    |

  # Guards against one wrong row that costs the other accounts.
  Scenario Outline: Accounts that cannot be used in full
    When a configuration has the accounts <rows>
    Then <usable> are in force, with <problems> problems, and no problem names a key

    Examples:
      | rows                                                                   | usable | problems |
      | [{"name":"a","api_keys":["k1"]}]                                       | a:k1   | 0        |
      | [{"name":"a","api_keys":["k1"],"colour":"red"}]                        | a:k1   | 0        |
      | [{"name":"a","api_keys":["k1"]},{"name":"a","api_keys":["k2"]}]        | a:k1   | 1        |
      | [{"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k1","k2"]}]   | a:k1 b:k2 | 1     |
      | [{"name":"a","api_keys":["k1",""]}]                                    | a:k1   | 1        |
      | [{"name":"a","api_keys":["k1",7]}]                                     | a:k1   | 1        |
      | [{"name":"a","api_keys":"k1"},{"name":"b","api_keys":["k2"]}]          | a: b:k2 | 1       |
      | [{"name":"a","api_keys":["k1"],"weight":-1}]                           | a:k1   | 1        |
      | [{"name":"a","api_keys":["k1"],"weight":1e300}]                        | a:k1   | 1        |
      | [{"name":"a","api_keys":["k1"],"maximum":{"cpu":-5}}]                  | a:k1   | 1        |
      | [{"name":"a","api_keys":["k1"],"maximum":7}]                           | a:k1   | 1        |
      | [{"api_keys":["k1"]},{"name":"b","api_keys":["k2"]}]                   | b:k2   | 1        |
      | [7,{"name":"b","api_keys":["k2"]}]                                     | b:k2   | 1        |
      | [{"name":"a"}]                                                         | a:     | 0        |
      | []                                                                     | none   | 0        |

  # Guards against work for each key where one of them changes.
  Scenario: One of 10,000 keys changes
    Given a configuration of 100 accounts with 100 keys each
    When a version comes in which one account has another key
    Then 100 keys were digested, and every key finds its account

  # Guards against a host that the store turns away and that goes on taking a revoked key.
  Scenario Outline: The store turns a host away while a key is revoked
    Given a host whose store answered last <age> s ago, and peers with a newer configuration
    When it looks whether it is behind
    Then it <outcome>

    Examples:
      | age | outcome                          |
      | 0.1 | has the old configuration        |
      | 1.0 | has the newer configuration      |

  # Guards against one reading of the operator's topic that stays silent while others go on.
  Scenario: The owner decides by a newer configuration
    Given a host whose store answered last 0.1 s ago, and peers with a newer configuration
    When it reads that the owner has the newer one
    Then it has the newer configuration

  # Guards against a host that lost the store before it had read of any peer.
  Scenario: A host that knows no peer yet
    Given a host that knows no peer, with a seed that has a newer configuration
    When it looks whether it is behind
    Then it has the newer configuration
