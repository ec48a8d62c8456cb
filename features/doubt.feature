Feature: A start in doubt

  # A task ran twice at once. Its start was sent to a runner that fails most calls, and was
  # not answered; the second try was refused as unhealthy. The owner took the refusal for
  # the answer to both tries and started the task elsewhere. The first try, which had been
  # held up on its way, was carried out a second later.
  Scenario Outline: A start without an answer is repeated, and the second try is refused
    Given a start that got no answer
    When its second try is refused as <reply>
    Then the task is not started elsewhere before a stop has forbidden the first try

    Examples:
      | reply     |
      | unhealthy |
      | no_room   |
