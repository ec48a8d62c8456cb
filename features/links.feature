Feature: Connections that end while another task uses them

  # Guards against closing a connection on which another request waits.
  Scenario: A request gives up while another one waits for room to be sent
    Given a peer that takes connections and never reads
    When a large request is sent to it, and a small one gives up meanwhile
    Then both fail, and the process can ask another peer

  # Guards against clients that wait for a peer which no connection reaches.
  Scenario: A peer that no connection reaches
    Given a peer whose queue of connections is full
    When a request is sent to it with all the time there is
    Then it is known not to have run long before that time is over

  # Guards against closing a connection on which a start waits for its answer.
  Scenario: A channel is closed while a request waits for its answer
    Given a server that takes connections and never answers
    When a channel to it is closed while a request waits
    Then the request fails at once, and the process can ask another server

  # The same on the answering side: the peer that had asked hung up.
  Scenario: A peer hangs up while a large answer is sent to it
    Given a daemon that answers every question with 8 MB
    When a peer asks, reads nothing and hangs up
    Then the daemon answers the next peer
