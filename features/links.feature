Feature: Connections that end while another task uses them

  # An entry host ended by itself in the middle of a day, with "Bad file descriptor".
  # A peer on a narrow link took no more bytes; one request waited for room to be
  # sent, the next one's time was over, and it closed the connection that the first
  # one waited on. The number of the closed descriptor was then used again.
  Scenario: A request gives up while another one waits for room to be sent
    Given a peer that takes connections and never reads
    When a large request is sent to it, and a small one gives up meanwhile
    Then both fail, and the process can ask another peer

  # A host was cut off from its peers and not from its clients. Each client waited a
  # second for the owner before its job was stored here.
  Scenario: A peer that no connection reaches
    Given a peer whose queue of connections is full
    When a request is sent to it with all the time there is
    Then it is known not to have run long before that time is over

  # The same with a runner that had ended: its connections were closed while a start
  # waited for its answer there.
  Scenario: A channel is closed while a request waits for its answer
    Given a server that takes connections and never answers
    When a channel to it is closed while a request waits
    Then the request fails at once, and the process can ask another server

  # The same on the answering side: the peer that had asked hung up.
  Scenario: A peer hangs up while a large answer is sent to it
    Given a daemon that answers every question with 8 MB
    When a peer asks, reads nothing and hangs up
    Then the daemon answers the next peer
