Feature: A job submitted again while a snapshot is reloaded

  # Guards against running a job again that ended while the store was being read.
  Scenario: A client repeats its request for a job that has just ended
    Given an owner that lost track of a job that ended while it read a snapshot
    When the job is submitted again, and then the owner reads its end
    Then no task of the job is started again
