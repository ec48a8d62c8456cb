Feature: Requests to the policy service that fail, are late or get no answer

  # Guards against log lines that do not tell which host delayed a step.
  Scenario: The log tells which host sent a request, how long it took and how it failed
    Given 1 hosts whose calls take 0.73 s
    When the first call is lost in the pool
    Then the log tells that h0 gave no advice, and how long the call took
    And the metrics have 1 call that failed and 1 that was answered
