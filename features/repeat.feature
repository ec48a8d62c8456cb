Feature: A job handed in again while a snapshot is read again

  # The store forgot its history, and the owner read all keys again, page by page. A job
  # ended between the pages: of it only an old note of its progress was left, so the owner
  # forgot the job. Its client, whose first request had broken off, handed it in again right
  # then. The owner ran the whole job again, also after it had read that it was over.
  Scenario: A client repeats its request for a job that has just ended
    Given an owner that has forgotten a job which ended while it read a snapshot
    When the job is handed in again, and then the owner reads its end
    Then nothing of the job is started again
