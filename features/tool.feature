Feature: The tool and the daemon's command line

  Scenario Outline: Example files are valid: <words>
    When the tool is run with <words>
    Then it exits with 0 and writes checked

    Examples:
      | words                                                |
      | check-settings examples/alone/settings.json          |
      | contract check examples/alone/contract.json          |
      | contract check examples/khangai/contract.json        |
      | contract check examples/kingston/contract.json       |

  Scenario: All settings of both deployments load
    Then all settings under examples/khangai and examples/kingston load

  Scenario Outline: Settings with <change> are refused in one line
    When the tool checks settings with <change>
    Then it exits with 2 and the one line of error names <words>

    Examples:
      | change                                         | words                     |
      | {"callers": {"address": "somewhere", "port": 1}} | callers.address         |
      | {"callers": {"address": "127.0.0.1", "port": 99999}} | port                |
      | {"timings": {"authority": -1}}                 | authority                 |
      | {"timings": {"heartbeat": 2}}                  | timings.heartbeat         |
      | {"timings": {"socket_timeout": 5}}             | timings.socket_timeout    |
      | {"colour": "red"}                              | colour                    |
      | {"host": "UPPER"}                              | host                      |
      | {"availability_zones": ["elsewhere"]}          | availability_zones        |
      | {"platform": {"log_plugin": "http"}}           | platform.log              |

  Scenario: Commands against a cell
    Given a shared cell
    When the tool queries the cell for status
    Then it exits with 0 and writes availability_zone
    When the tool queries the cell for members
    Then it exits with 0 and writes ub-west-d1
    When the tool queries the cell for shards
    Then it exits with 0 and writes dispatch
    When the tool queries the cell for workers --json
    Then it exits with 0 and writes used_processors
    When the tool queries the cell for endpoints
    Then it exits with 0 and writes booking
    When the tool queries the cell for contract show khangai
    Then it exits with 0 and writes quota
    When the tool queries the cell for contract history khangai
    Then it exits with 0 and writes committed
    When the tool queries the cell for job list --limit 5
    Then it exits with 0 and writes customer

  Scenario: Refusals map to exit statuses
    Given a shared cell
    When the tool queries the cell for job show ub-east.nothing
    Then it exits with 3 and the one line of error names not_run
    When the tool queries the cell for job resolve ub-east.nothing --outcome ran
    Then it exits with 3 and the one line of error names nothing
    When the tool is run with status --admin 127.0.0.1:1
    Then it exits with 5 and the one line of error names running
    When the tool is run with status --admin nowhere
    Then it exits with 2 and the one line of error names IP:PORT
    When the tool is run with contract check no-such-file.json
    Then it exits with 2 and the one line of error names no-such-file.json

  Scenario: Many jobs are cancelled with one command
    Given a shared cell
    When 200 long jobs are submitted and all are cancelled with one command
    Then none of them is left waiting or running within 20 seconds
    And requests to ub-east-d0 are answered within 2 seconds
