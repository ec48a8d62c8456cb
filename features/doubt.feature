Feature: A start with an unknown outcome

  # Guards against reading a refusal as the answer to an earlier attempt that may yet be carried out.
  Scenario Outline: An unanswered start is retried, and the retry is refused
    Given a start that got no answer
    When its second attempt is refused as <reply>
    Then the task is not started elsewhere until a stop has ruled out the first attempt

    Examples:
      | reply     |
      | unhealthy |
      | no_room   |
