Feature: Invalid input gets a clear error and does not stop the daemon

  Scenario Outline: Invalid HTTP: <what>
    Given a shared cell
    When <what> is sent to the callers' port
    Then the connection is answered with <status> or closed
    And the daemon still answers

    Examples:
      | what                          | status |
      | a truncated head              | 408    |
      | a head of 100000 bytes        | 431    |
      | a body above the limit        | 413    |
      | two different Content-Lengths | 400    |
      | a body that is never sent     | 408    |
      | random bytes                  | 400    |
      | a negative Content-Length     | 400    |

  Scenario Outline: A request with <header> of <text>
    Given a shared cell
    When a request is sent with header <header> set to <text>
    Then it is refused as not_run and the answer names <words>

    Examples:
      | header                    | text                  | words                     |
      | dandelionreel-deadline-ms | -5                    | dandelionreel-deadline-ms |
      | dandelionreel-deadline-ms | soon                  | dandelionreel-deadline-ms |
      | dandelionreel-deadline-ms | 99999999999999999999  | dandelionreel-deadline-ms |
      | dandelionreel-idempotent  | perhaps               | dandelionreel-idempotent  |
      | dandelionreel-customer    | nobody                | nobody                    |
      | dandelionreel-class       | vip                   | vip                       |

  Scenario: A request to an unknown service
    Given a shared cell
    When a request is sent to service weather
    Then it is refused as not_run and the answer names weather

  Scenario Outline: A job with <change>
    Given a shared cell
    When a job is submitted with <change>
    Then it is refused as not_run and the answer names <words>

    Examples:
      | change                                               | words       |
      | {"demand": {"processors": -1}}                       | processors  |
      | {"demand": {"processors": "four"}}                   | processors  |
      | {"demand": {"processors": 1e12}}                     | processors  |
      | {"demand": {}}                                       | demand      |
      | {"demand": {"processors": 64}}                       | never run   |
      | {"demand": {"processors": 4}, "tasks": 500}          | quota       |
      | {"demand": {"processors": 20}, "tasks": 4}           | never run   |
      | {"tasks": 0}                                         | tasks       |
      | {"customer": "nobody"}                               | nobody      |
      | {"task_class": "vip"}                                | vip         |
      | {"task_class": "service"}                            | idempotent  |
      | {"colour": "red"}                                    | colour      |
      | {"command": ""}                                      | command     |

  Scenario: An idempotency key is used for another job
    Given a shared cell
    When a settlement is submitted twice with one key
    And another job is submitted with that key
    Then it is refused as not_run and the answer names key

  Scenario Outline: A peer sends <what>
    Given a shared cell
    When <what> is sent to the peers' port
    Then the connection is closed
    And the daemon still answers

    Examples:
      | what                     |
      | a frame of 2 gigabytes   |
      | a frame of another version |
      | a frame of random bytes  |
      | half a frame             |
