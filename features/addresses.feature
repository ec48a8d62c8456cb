Feature: Entries at one address

  # A runner crashed and came up again at its address under a new id, 1 s later; the entry
  # of its former life was still listed, as it is for three heartbeats or longer. Right then
  # the owner was cut off with it. The successor took the new life for replaced by the
  # old one, did not wait for it, and started its tasks again at once.
  Scenario: The entry of a runner's former life is still listed
    Given runner w9 at the address of w8, whose entry has not expired yet
    When a host follows an owner that had a job on w9
    Then that job is left alone until w9 has been seen
