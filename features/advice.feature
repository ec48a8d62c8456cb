Feature: Requests to the policy service that fail, are late or get no answer

  # Guards against log lines that do not tell which host delayed a step.
  Scenario: The log tells which host sent a request, how long it took and how it failed
    Given 1 hosts whose calls take 0.73 s
    When the first call is lost in the pool
    Then the log tells that h0 gave no advice, and how long the call took
    And the metrics have 1 call that failed and 1 that was answered

  # Guards against a failed call that delays a step for good or until it is of no use.
  Scenario Outline: A request whose call fails is answered by another host in time
    Given 5 hosts whose calls take 0.73 s
    When <situation> in the pool
    Then each request ends once and is answered within 2 s

    Examples:
      | situation                                     |
      | the first call is lost                        |
      | the first call is late                        |
      | the first call raises an error of the program |
      | the own host's calls are all lost             |
      | the own host's calls are all refused          |
      | a host leaves with its call                   |
      | one part of a gang is lost                    |
      | the handler of an answer fails                |

  # Guards against requests that stay in the queue or end twice.
  Scenario Outline: Each request ends once whatever happens to the hosts
    Given 5 hosts whose calls take 0.73 s
    When <situation> in the pool
    Then each request ends once and is answered within 2 s

    Examples:
      | situation                                 |
      | the first call is refused by each host    |
      | the connection to the first host is cut   |
      | all other hosts leave while requests wait |
      | requests of equal priorities wait         |

  # Guards against a third call beside a second one that is not overdue.
  Scenario: A lost call is followed by one other call
    Given 41 hosts whose calls take 0.73 s
    When the first call is lost and the second one takes 0.95 s in the pool
    Then each request ends once and is answered within 2 s
    And there are 2 calls

  # Guards against a second call for each request while the service is slow for all hosts.
  Scenario: Calls beside an unanswered one use a quarter of the hosts at most
    Given 40 hosts whose calls take 0.73 s
    When all calls of 20 urgent requests take twice as long in the pool
    Then each request ends once and is answered within 2 s
    And there are at most 30 calls in all

  # Guards against three calls instead of one in each repetition while the service refuses all.
  Scenario: Hosts that have just failed get no second calls
    Given 5 hosts whose calls take 0.73 s
    When all calls are refused for 2 s in the pool
    Then there are at most 25 calls in all

  # Guards against a call that waits in the service behind one whose connection was cut.
  Scenario: A host whose call was cut is not used until the service has handled that call
    Given 1 hosts whose calls take 0.73 s
    When the connection to the first host is cut in the pool
    Then each request ends once and is answered within 2 s
    And no call waits in the service behind another one of its host

  # Guards against a request that waits for its last call although that is overdue.
  Scenario: A request whose three calls are lost is repeated when the last one is overdue
    Given 41 hosts whose calls take 0.73 s
    When the first three calls are lost in the pool
    Then each request ends once and is answered within 4 s

  # Guards against calls that cost the service time without need.
  Scenario: Without failures each request has one call
    Given 41 hosts whose calls take 0.73 s
    When gangs request advice at random with seed 1, 0 hosts that fail, 0 slow ones and 0 % of calls lost
    Then each request ends once and is answered within 3 s
    And there is one call for each request

  # Guards against hosts that delay one request after another.
  Scenario Outline: Hosts that fail or are slow delay no gang beyond its time to start
    Given 41 hosts whose calls take 0.73 s
    When gangs request advice at random with seed <seed>, 4 hosts that fail, 4 slow ones and 0 % of calls lost
    Then each request ends once and is answered within 3 s
    And there are at most 1.1 calls for each request

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against requests without an end, and calls that wait behind a call given up.
  Scenario Outline: Many failures leave no request without an end
    Given 41 hosts whose calls take 0.73 s
    When gangs request advice at random with seed <seed>, 8 hosts that fail, 8 slow ones and 20 % of calls lost
    Then each request ends once
    And there are at most 2 calls for each request
    And no call waits in the service behind another one of its host

    Examples:
      | seed |
      | 4    |
      | 5    |

  # Guards against a failed request that is repeated only when something else causes a plan.
  Scenario: A failed request is repeated without another cause for a plan
    Given an owner whose only request for advice fails at once
    When the owner runs
    Then it requests advice again within 0.3 s

  # Guards against a step that waits for good for an answer to a request that was never sent.
  Scenario: A plan whose starts cannot be sent still requests advice
    Given an owner whose planner cannot send the starts of a plan
    When the owner runs
    Then the requests of the plan are sent

  # Guards against requests of a former owner that delay those of its successor in the service.
  Scenario: An owner whose term has ended sends no further requests
    Given an owner whose term ends while 5 requests for advice wait
    When the owner runs
    Then no request is sent after its end

  # Guards against a call that takes several times its timeout, as it waits for another one first.
  Scenario: The timeout of a call includes its wait for an earlier call of the host
    Given a policy service that never answers
    When a call with a timeout of 1 s is made 0.1 s after another one
    Then it fails within 1.6 s
