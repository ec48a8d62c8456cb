Feature: A refusal after an attempt that may have been carried out

  # Guards against telling a client that nothing was done although its job or its cancellation may
  # have been stored by a host that did not answer.
  Scenario Outline: The owner gives no clear answer to a <call>, and a second host answers
    Given a host whose owner <owner>, and whose zone's writer answers <status>
    When a client sends it a <call>
    Then it is answered <answer> with the verdict <verdict>

    Examples: The owner may have acted
      | owner                   | status    | call         | answer | verdict |
      | does not answer         | 200       | submission   | 200    | ran     |
      | does not answer         | 400       | submission   | 504    | unknown |
      | does not answer         | 401       | submission   | 504    | unknown |
      | does not answer         | 403       | submission   | 504    | unknown |
      | does not answer         | 404       | submission   | 504    | unknown |
      | does not answer         | 409       | submission   | 504    | unknown |
      | does not answer         | 413       | submission   | 504    | unknown |
      | does not answer         | 429       | submission   | 504    | unknown |
      | does not answer         | 503       | submission   | 504    | unknown |
      | does not answer         | overload  | submission   | 504    | unknown |
      | does not answer         | not at all | submission  | 504    | unknown |
      | answers 504             | 401       | submission   | 504    | unknown |
      | answers 500             | 401       | submission   | 504    | unknown |
      | does not answer         | 200       | cancellation | 200    | ran     |
      | does not answer         | 401       | cancellation | 504    | unknown |
      | does not answer         | 410       | cancellation | 504    | unknown |
      | does not answer         | 503       | cancellation | 504    | unknown |

    Examples: Nobody can have acted
      | owner               | status   | call         | answer | verdict |
      | refuses connections | 200      | submission   | 200    | ran     |
      | refuses connections | 400      | submission   | 400    | not_run |
      | refuses connections | 401      | submission   | 401    | not_run |
      | refuses connections | 409      | submission   | 409    | not_run |
      | refuses connections | 413      | submission   | 413    | not_run |
      | refuses connections | 503      | submission   | 503    | not_run |
      | refuses connections | overload | submission   | 503    | not_run |
      | answers 503         | 401      | submission   | 401    | not_run |
      | refuses connections | 401      | cancellation | 401    | not_run |
      | refuses connections | 410      | cancellation | 410    | not_run |

  # Guards against an order of attempts after which a refusal is passed on.
  Scenario: Every sequence of up to three attempts
    Given every sequence of up to three attempts of the owner, this host and peers
    When the client is answered
    Then it is told that nothing was done only if none of them is in doubt
    And it is told of a success only if one was answered so

  # Guards against a refusal by a host that has no free slot, after its runner may have run the
  # request.
  Scenario: A forwarded request may have run, and no slot is free for another attempt
    Given a daemon that was forwarded an idempotent request
    When its runner breaks off the request, and no slot is free any more
    Then the forwarding daemon is told that the request may have run

  # Guards against telling a caller that nothing was cancelled although one zone's jobs were.
  Scenario Outline: Jobs of two zones are cancelled, and the second zone cannot
    Given a daemon whose other zone <other> when it is asked to cancel
    When a caller cancels jobs of <zones>
    Then the error has the verdict <verdict>

    Examples:
      | other            | zones        | verdict |
      | is out of reach  | both zones   | unknown |
      | is out of reach  | that zone    | not_run |
      | does not answer  | both zones   | unknown |
      | does not answer  | that zone    | unknown |
