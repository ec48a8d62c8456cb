Feature: Clients that do not behave cannot take the memory of a process

  # Guards against bodies over the limit that a host reads although it refuses them.
  Scenario: Oversize bodies are announced to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 200 clients announce bodies far over the limit and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against bodies that are kept until their size is over the limit.
  Scenario: Oversize bodies are sent to a host in chunks
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 200 clients send bodies far over the limit in chunks and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against bytes after a request that a host keeps.
  Scenario: More than announced is sent to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 200 clients send far more than they announce and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against requests of legal size that together take all memory.
  Scenario: Large bodies are sent whole to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 400 clients send large bodies whole and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against unfinished bodies of legal size that together take all memory.
  Scenario: Large bodies are sent piece by piece to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 400 clients send large bodies piece by piece and stop short and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against unfinished bodies whose size is not announced.
  Scenario: Large chunks are sent to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 400 clients send large bodies in large chunks and stop short and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against a client that keeps the process busy, and bytes that wait unread meanwhile.
  Scenario: Very small chunks are sent to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 100 clients send bodies in very small chunks and stop short and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against unfinished heads that together take all memory.
  Scenario: Large heads are sent to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 400 clients send large heads without an end and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against heads whose decoded form is many times their size.
  Scenario: Heads of many fields are sent to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 200 clients send heads of many fields and no body and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against connections without a request that take the place of callers.
  Scenario: Connections without a request are open to a host
    Given an entry host with 96 MB of memory and 1400 descriptors
    When 400 clients send no request and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against requests that wait unread while nobody reads the answers before them.
  Scenario: Answers of a host are not read
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 600 clients send requests and read no answers and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against bodies whose decoded form is many times their size.
  Scenario: Bodies of tiny steps are sent to a host
    Given an entry host with 72 MB of memory and 4100 descriptors
    When 20 clients send large bodies of tiny steps and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against large bodies on a server that needs none.
  Scenario: Large bodies are sent to the readiness check of a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 150 clients of the readiness check send large bodies and stop short
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against frames that are kept before it is known who sends them.
  Scenario: Large frames are sent to the peers of a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    When 20 clients of the peers send large frames and stop short
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against limits that refuse a request inside the limits.
  Scenario: A single large job is sent to a host
    Given an entry host with 96 MB of memory and 4100 descriptors
    Then a job of the largest size is accepted

  # Guards against unfinished bodies of legal size that together take all memory.
  Scenario: Large bodies are sent piece by piece to a daemon
    Given a daemon with 256 MB of memory
    When 300 clients send large bodies piece by piece and stop short and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against unfinished bodies whose size is not announced.
  Scenario: Large chunks are sent to a daemon
    Given a daemon with 256 MB of memory
    When 300 clients send large bodies in large chunks and stop short and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against bodies that are kept until their size is over the limit.
  Scenario: Oversize bodies are sent to a daemon in chunks
    Given a daemon with 256 MB of memory
    When 300 clients send bodies far over the limit in chunks and stay connected
    Then the process lives within its memory and descriptors
    And an ordinary job is accepted
    And the process lives within its memory and descriptors

  # Guards against limits that refuse a request inside the limits.
  Scenario: A single large job is sent to a daemon
    Given a daemon with 256 MB of memory
    Then a job of the largest size is accepted

  # Guards against a head that keeps its connection for as long as single bytes of it arrive.
  Scenario: A head is sent byte by byte
    Given a server that waits 0.5 seconds for a request
    When a client sends 60 bytes of a head, one every 0.1 seconds
    Then it gets the status 408 before it has sent them all
