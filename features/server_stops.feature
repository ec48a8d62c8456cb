Feature: A stopping host answers or refuses each request that reached it

  # Guards against requests that are cut as the process ends before it has read or answered them.
  Scenario Outline: A request reaches a stopping host
    Given a server that stops within 2.5 seconds, 0.4 of them until the balancer has noticed
    When a client sends a request as <way>
    Then the caller gets the status <status> and the verdict <verdict>
    And the stop has taken between <least> and <most> seconds

    Examples:
      | way                                                | status | verdict | least | most |
      | a new connection that the late process has not yet accepted | 200 | none | 0.4 | 1.5 |
      | bytes that the late process has not yet read       | 200    | none    | 0.4   | 1.5  |
      | a head whose end arrives after the notice          | 200    | none    | 0.4   | 1.5  |
      | a body whose end arrives after the notice          | 200    | none    | 0.4   | 1.5  |
      | a call while the member record is being deleted    | 200    | none    | 0.4   | 1.5  |
      | a POST that is at work until the end of the grace  | 504    | unknown | 1.2   | 1.55 |
      | a GET that is at work until the end of the grace   | 503    | not_run | 1.2   | 1.55 |
      | a POST whose end comes when the grace has nearly ended | 503    | not_run | 1.2   | 1.55 |
      | a POST that is at work while the process is late beyond its grace | 504 | unknown | 1.6 | 1.9 |
      | a body whose end never arrives                     | 503    | not_run | 1.2   | 1.55 |
      | bytes that are held up until their idle connection has been closed | 503 | not_run | 0.4 | 1.55 |

  # Guards against forwarded requests that are cut as the process ends.
  Scenario: A peer has forwarded a request
    Given a server that stops within 2.5 seconds, 0.4 of them until the balancer has noticed
    When a peer forwards a request that is at work for 0.8 seconds
    Then the forwarded request gets the status 200
    And the stop has taken between 0.6 and 1.5 seconds

  # Guards against a stop that waits for clients that send nothing.
  Scenario Outline: Idle connections are closed
    Given a server that stops within 4 seconds, 0.4 of them until the balancer has noticed
    When a client keeps a connection open, sends nothing and <end>
    Then the caller gets the status 503 and the verdict not_run
    And its connection has been closed by the server
    And the stop has taken between <least> and <most> seconds

    Examples:
      | end                        | least | most |
      | closes it after the answer | 0.4   | 1.2  |
      | never closes it            | 0.4   | 1.9  |

  # Guards against a deletion of the member record that keeps the process from its end.
  Scenario: The member record cannot be deleted
    Given a server that stops within 2.5 seconds, 0.4 of them until the balancer has noticed
    When the store never answers the deletion of its member record
    Then the stop has taken between 1.2 and 1.55 seconds

  # Guards against clients that are sent to a stopping host for longer than the balancer needs.
  Scenario: The listener closes once the balancer has noticed
    Given a server that stops within 2.5 seconds, 0.4 of them until the balancer has noticed
    When a request is at work and a client connects after the notice
    Then the connection of the client is refused

  # Guards against an answer that is lost as its connection is reset over unread bytes.
  Scenario: A request that is refused before it was read whole
    Given a server that reads bodies of up to 1000 bytes
    When a client sends a body of 3000000 bytes
    Then the caller gets the status 413 and the verdict not_run

  # Guards against connections that end without an answer at the limit of connections.
  Scenario: More connections than the limit
    Given a server with a limit of 2 connections
    When 2 clients keep connections open and a third one sends a request
    Then the caller gets the status 503 and the verdict not_run

  # Guards against refused connections that take the place of others: they stay open for a second.
  Scenario: A client connects after others have left
    Given a server with a limit of 2 connections
    When 2 clients are served, 3 more are refused, the first 2 leave and another one sends a request
    Then the caller gets the status 200 and the verdict none

  # Guards against a close of idle connections that leaves no trace of the request that crosses it.
  Scenario: A request that crosses the close of its connection is in the log
    Given a server that stops within 2.5 seconds, 0.4 of them until the balancer has noticed
    When a client sends a request as bytes that are held up until their idle connection has been closed
    Then the log names the request POST /a that has crossed the close of its connection

  # Guards against a request that is cut as it crosses the close of an idle connection.
  Scenario: A request arrives as its connection has been idle for too long
    Given a server that closes connections after 0.3 idle seconds
    When a client sends a request 0.6 seconds after it has connected
    Then the caller gets the status 503 and the verdict not_run

  # Guards against a request that is on its way as its idle connection gives way to another one.
  Scenario: A request crosses the close of a connection that gives way
    Given a server with a limit of 2 connections
    When 2 clients are idle for 1.2 seconds, a third one connects and the first one sends a request
    Then the caller gets the status 503 and the verdict not_run

  # Guards against a request that gets no answer, as the answer may not have its body.
  Scenario: A request for the headers of an answer only
    Given a server with a limit of 2 connections
    When a client sends a HEAD request, and the answer of the server has a body
    Then the caller gets the status 405 and the verdict not_run

  # Guards against a request that gets no answer as a timeout within its handler ends its connection.
  Scenario: A timeout escapes from the handler of a request
    Given a server with a limit of 2 connections
    When a client sends a request whose handler lets a timeout escape
    Then the caller gets the status 500 and the verdict unknown

  # Guards against requests that a stopping daemon cuts as it has not read them whole.
  Scenario: A request reaches a stopping daemon
    Given a server of a daemon that drains for up to 3 s
    When a client sends a body whose end arrives after the balancer has noticed
    Then the caller gets the status 200 and the verdict none
