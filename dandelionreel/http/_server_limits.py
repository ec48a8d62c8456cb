"""Limits of an HTTP server."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServerLimits:
    """Limits of a server: sizes in bytes, timeouts in seconds, header fields, open connections."""

    body_bytes: int = 1_048_576
    header_bytes: int = 16_384
    header_fields: int = 100
    read_seconds: float = 5
    idle_seconds: float = 60
    connections: int = 512


#: Bytes that may wait unread on a connection while its request is answered; the system doubles it
#: for its own use. A body of 1 MB takes about 32 round trips.
RECEIVE_BUFFER_BYTES = 32_768
CONTROL_BODY_BYTES = 4096
CONTROL_CONNECTIONS = 128
#: Limits of a server to which only small requests of a few clients are sent.
CONTROL_LIMITS = ServerLimits(body_bytes=CONTROL_BODY_BYTES, connections=CONTROL_CONNECTIONS)
