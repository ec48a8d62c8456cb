Feature: A job handed in again while a snapshot is read again

  # Guards against running a job again that ended while the store was read.
  Scenario: A client repeats its request for a job that has just ended
    Given an owner that has forgotten a job which ended while it read a snapshot
    When the job is handed in again, and then the owner reads its end
    Then nothing of the job is started again
