Feature: Failing and closed connections to peers and servers

  # Guards against closing a socket on which another task is blocked in sending. Its descriptor
  # would stay in curio's selector, and a new connection with its number would end the process.
  Scenario: A request times out while another one is blocked in sending
    Given a peer that accepts connections and never reads
    When a large request is sent to it and a small one times out meanwhile
    Then both fail and the process can send requests to another peer

  # Guards against spending the whole timeout of a request on connecting.
  Scenario: A peer to which no connection can be opened
    Given a peer whose accept queue is full
    When a request with a long timeout is sent to it
    Then it fails as not run long before its timeout

  # Guards against closing a socket on which another request, such as a start, waits for its
  # response.
  Scenario: A channel is closed while a request waits for its response
    Given a server that accepts connections and never responds
    When a channel to it is closed while a request waits
    Then the request fails at once and the process can send requests to another server

  # Guards against the same fault in the server: it closed the socket of a peer that had
  # disconnected while another task was blocked in sending the answer.
  Scenario: A peer disconnects while a large answer is sent to it
    Given a daemon that answers every request with 8 MB
    When a peer sends a request, reads nothing and disconnects
    Then the daemon answers the next peer

  # Guards against taking a connection that is closed without an answer for a sign of life.
  Scenario: A server closes the connection of a request without an answer
    Given a server that accepts connections and closes them
    When a request is sent to it on a channel
    Then the request fails, and nothing counts as received
