Feature: Client accounts and their API keys

  # Guards against requests served without a key, and against refusals that reveal the reason.
  Scenario Outline: Which requests are authenticated
    Given a client API with the accounts blue and red
    When a client counts the jobs with the headers <headers>
    Then the answer is a <status>, and no key is logged

    Examples: served
      | headers                           | status |
      | Authorization: Bearer blue-key-1  | 200    |
      | Authorization: Bearer blue-key-2  | 200    |
      | Authorization: bearer red-key-1   | 200    |
      | Authorization: BEARER red-key-1   | 200    |
      | Authorization: Bearer   red-key-1 | 200    |

    Examples: not served
      | headers                                                            | status |
      | none                                                               | 401    |
      | Authorization: Bearer green-key-1                                  | 401    |
      | Authorization: Bearer BLUE-KEY-1                                   | 401    |
      | Authorization: Bearer blue-key-1x                                  | 401    |
      | Authorization: Bearer blue-key-1 x                                 | 401    |
      | Authorization: Bearer                                              | 401    |
      | Authorization: blue-key-1                                          | 401    |
      | Authorization: Basic blue-key-1                                    | 401    |
      | Authorization: Bearerblue-key-1                                    | 401    |
      | Authorization: Bearer blüe                                         | 401    |
      | X-Api-Key: blue-key-1                                              | 401    |
      | Authorization: Bearer blue-key-1, Authorization: Bearer red-key-1  | 401    |
      | Authorization: Bearer blue-key-1, Authorization: Bearer blue-key-1 | 401    |
      | Authorization: Bearer 100 kB                                       | 401    |

  # Guards against accepting a key for its format, and against refusals that differ.
  Scenario: Only a known key is accepted, whatever the header contains
    Given a client API with the accounts blue and red
    Then random headers get the same answer unless they contain a known key

  Scenario: A public queue needs no key
    Given a client API with the accounts blue and red
    When a client counts the jobs of the public queue without a key
    Then the answer is a 200, and no key is logged

  Scenario: Without accounts in the configuration no key is needed
    Given a client API without accounts
    When a client counts the jobs with the headers none
    Then the answer is a 200, and no key is logged

  # Guards against a 401 for a new key that this host has not read yet.
  Scenario Outline: A key that this host does not know
    Given a client API with the accounts blue and red
    And peers that <peers>
    When a client counts the jobs with the headers Authorization: Bearer new-key
    Then the answer is a <status>, and no key is logged

    Examples:
      | peers                                   | status |
      | have a configuration with that key      | 200    |
      | have the same configuration             | 401    |
      | do not answer while the store is silent | 503    |
      | do not answer while the store serves    | 401    |

  # Guards against load from unknown keys: they share one query to peers.
  Scenario: A hundred unknown keys
    Given a client API with the accounts blue and red
    And peers that have the same configuration
    When a hundred requests with unknown keys arrive
    Then peers were asked once

  # Guards against serving a forwarded request by the older of two configurations.
  Scenario Outline: A request that a peer forwards
    Given a client API with the accounts blue and red, in version 5
    When a peer with configuration version <version> forwards a request of <caller> with <key>
    Then the answer is a <status>, and no key is logged

    Examples:
      | version | caller | key         | status |
      | 5       | blue   | blue-key-1  | 200    |
      | 4       | blue   | blue-key-1  | 200    |
      | 4       | blue   | removed-key | 401    |
      | 6       | green  | added-key   | 200    |

  # Guards against a revoked key at a host that has not received a configuration for long.
  Scenario Outline: A host whose configuration may be outdated
    Given a client API with the accounts blue and red, whose configuration may be outdated by <age> s
    And the maximum age of a configuration that keys are checked by is <limit>
    When a client counts the jobs with the headers Authorization: Bearer blue-key-1
    Then the answer is a <status>, and no key is logged

    Examples:
      | age | limit     | status |
      | 3   | 5 s       | 200    |
      | 6   | 5 s       | 503    |
      | 60  | unlimited | 200    |

  # Guards against an account that gets information about another one's job.
  Scenario Outline: A job of the account blue
    Given a client API with the accounts blue and red
    And a job of <owner> that is <state>
    When <caller> asks by <method>
    Then the answer is a <status>, and no key is logged

    Examples:
      | owner  | state     | caller | method | status |
      | blue   | queued    | blue   | GET    | 200    |
      | blue   | completed | blue   | GET    | 200    |
      | blue   | queued    | red    | GET    | 410    |
      | blue   | completed | red    | GET    | 410    |
      | blue   | queued    | red    | DELETE | 410    |
      | blue   | completed | red    | DELETE | 410    |
      | blue   | queued    | red    | POST   | 409    |
      | blue   | completed | red    | POST   | 409    |
      | blue   | completed | blue   | DELETE | 200    |
      | blue   | completed | blue   | POST   | 200    |
      | nobody | completed | red    | GET    | 200    |

  # Guards against a job that waits for ever because a part of it exceeds the quota.
  Scenario Outline: A job that exceeds its account's quota
    Given a client API with the accounts blue and red
    When blue submits a step of <count> <kind> of <cpu> cores, with a quota of 8 cores
    Then the answer is a <status>, and no key is logged

    Examples:
      | count | kind         | cpu | status |
      | 1     | tasks        | 9   | 429    |
      | 20    | tasks        | 8   | 503    |
      | 3     | gang members | 3   | 429    |
      | 2     | gang members | 4   | 503    |

  # Guards against one invalid row that makes other accounts unusable.
  Scenario Outline: Invalid accounts in a configuration
    When a configuration has the accounts <rows>
    Then <usable> are in force, with <problems> problems, and no problem names a key

    Examples:
      | rows                                                                 | usable    | problems |
      | [{"name":"a","api_keys":["k1"]}]                                     | a:k1      | 0        |
      | [{"name":"a","api_keys":["k1"],"colour":"red"}]                      | a:k1      | 0        |
      | [{"name":"a","api_keys":["k1"]},{"name":"a","api_keys":["k2"]}]      | a:k1      | 1        |
      | [{"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k1","k2"]}] | a:k1 b:k2 | 1        |
      | [{"name":"a","api_keys":["k1",""]}]                                  | a:k1      | 1        |
      | [{"name":"a","api_keys":["k1",7]}]                                   | a:k1      | 1        |
      | [{"name":"a","api_keys":"k1"},{"name":"b","api_keys":["k2"]}]        | a: b:k2   | 1        |
      | [{"name":"a","api_keys":["k1"],"weight":-1}]                         | a:k1      | 1        |
      | [{"name":"a","api_keys":["k1"],"weight":1e300}]                      | a:k1      | 1        |
      | [{"name":"a","api_keys":["k1"],"maximum":{"cpu":-5}}]                | a:k1      | 1        |
      | [{"name":"a","api_keys":["k1"],"maximum":7}]                         | a:k1      | 1        |
      | [{"api_keys":["k1"]},{"name":"b","api_keys":["k2"]}]                 | b:k2      | 1        |
      | [7,{"name":"b","api_keys":["k2"]}]                                   | b:k2      | 1        |
      | [{"name":"a"}]                                                       | a:        | 0        |
      | []                                                                   | none      | 0        |

  # Guards against digesting all keys where one of them changes.
  Scenario: One of 10,000 keys changes
    Given a configuration of 100 accounts with 100 keys each
    When a version arrives in which one account has another key
    Then 100 keys were digested, and every key finds its account

  # Guards against a host without the store that goes on accepting a revoked key.
  Scenario Outline: A host loses the store while a key is revoked
    Given a host whose last answer of the store is <age> s old, and peers with a newer configuration
    When it checks whether its configuration is outdated
    Then it <outcome>

    Examples:
      | age | outcome                     |
      | 0.1 | has the old configuration   |
      | 1.0 | has the newer configuration |

  # Guards against a stalled read of the operator's topic while other topics are read.
  Scenario: The owner has a newer configuration
    Given a host whose last answer of the store is 0.1 s old, and peers with a newer configuration
    When it reads that the owner has the newer configuration
    Then it has the newer configuration

  # Guards against a host that lost the store before it had read any peer's record.
  Scenario: A host that knows no peer yet
    Given a host that knows no peer, with a seed that has a newer configuration
    When it checks whether its configuration is outdated
    Then it has the newer configuration
