Feature: A start in doubt

  # Guards against taking a refusal for the answer to an earlier try that may still be carried out.
  Scenario Outline: A start without an answer is repeated, and the second try is refused
    Given a start that got no answer
    When its second try is refused as <reply>
    Then the task is not started elsewhere before a stop has forbidden the first try

    Examples:
      | reply     |
      | unhealthy |
      | no_room   |
