"""The open connections of a server and what each of them is doing."""

import enum
import select
import time
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import asdict, dataclass
from socket import MSG_DONTWAIT, MSG_PEEK, SHUT_RD, SHUT_WR
from typing import Any

import curio
import h11

from dandelionreel.http._messages import Request
from dandelionreel.http._request_budget import RequestBudget
from dandelionreel.kernel import Problem

#: Bytes of unread data that are inspected: enough for the first line of a request.
PEEK_SIZE = 512
READ_SIZE = 16_384
#: Seconds for which a server reads on after its last answer, so that the client can take it. Long
#: enough for a request that was on its way, even if a segment of it was lost and sent again.
LINGER_SECONDS = 1.0
#: Bytes that a server reads on at most.
MAX_DISCARDED_BYTES = 4_194_304


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = 'idle'
    READING = 'reading'
    ANSWERING = 'answering'
    CLOSING = 'closing'


@dataclass(frozen=True)
class ServerLoad:
    """Counts of the open connections of a server.

    ``reading`` have received a part of a request, ``in_progress`` are at work on a whole one.
    ``unread`` have received bytes that the process has not read. ``unaccepted`` says whether
    connections wait in the listener's queue.
    """

    connections: int = 0
    reading: int = 0
    in_progress: int = 0
    unread: int = 0
    unaccepted: bool = False


@dataclass(frozen=True)
class IdleCloses:
    """Connections that a server has closed because no request had begun on them.

    ``shortest_idle`` and ``longest_idle`` are seconds since their last answer. On ``crossed`` of
    them, bytes arrived after the decision to close; ``crossed_requests`` has method and target of
    the first ones.
    """

    closed_idle: int = 0
    shortest_idle: float = 0.0
    longest_idle: float = 0.0
    crossed: int = 0
    crossed_requests: tuple[str, ...] = ()

    def counts(self) -> dict[str, float]:
        """Return all but the names of requests, for a log line."""
        fields = asdict(self)
        del fields['crossed_requests']
        return fields


class ServerConnection:
    """One connection of a client: its socket, the state of HTTP and the request in progress."""

    def __init__(
        self,
        client: Any,
        header_bytes: int,
        budget: RequestBudget,
        refusal: Problem | None = None,
    ) -> None:
        """Serve the socket ``client``; a head of over ``header_bytes`` is invalid.

        ``budget`` has the memory of the bodies. ``refusal`` answers the first request in place of
        the handler.
        """
        self.client = client
        self.refusal = refusal
        self.charge = budget.open_charge(self.stop_receiving)
        self.http: Any = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self.request: Request | None = None
        self.phase = Phase.IDLE
        #: When the phase began, in seconds of ``time.monotonic()``.
        self.phase_since = time.monotonic()
        self.is_closed_as_idle = False
        #: The first line of what has arrived after the decision to close the connection as idle.
        self.crossed_line = ''

    def enter(self, phase: Phase, request: Request | None = None) -> None:
        """Enter a phase, with the request that is in progress."""
        self.phase = phase
        self.phase_since = time.monotonic()
        self.request = request

    def stop_receiving(self) -> None:
        """Wake the connection's task if it waits for bytes; it finds no more of them."""
        with suppress(OSError):
            self.client._socket.shutdown(SHUT_RD)

    @property
    def idle_seconds(self) -> float:
        """Return for how long no byte of a request has arrived, 0 if one has begun."""
        if self.phase is not Phase.IDLE or self.peek():
            return 0.0
        return time.monotonic() - self.phase_since

    def peek(self) -> bytes:
        """Return the first bytes that the process has not read, empty if there are none."""
        try:
            return self.client._socket.recv(PEEK_SIZE, MSG_PEEK | MSG_DONTWAIT)
        except OSError:
            return b''

    def note_arrival(self, received: bytes) -> None:
        """Record the first bytes that arrive after the decision to close it as idle."""
        if self.is_closed_as_idle and not self.crossed_line:
            self.crossed_line = _describe_bytes(received)

    async def discard_unread(self) -> None:
        """Read and discard what the client still sends, until it closes or for some time.

        A connection that is closed with unread bytes is reset, and its client may lose the answer.
        """
        self.shut_down_sending()
        if self._linger_seconds <= 0:
            return
        with suppress(OSError):
            await curio.ignore_after(self._linger_seconds, self._read_to_end)

    def shut_down_sending(self) -> None:
        """Send no more, so that the client reads the end of the connection."""
        if self.phase is not Phase.CLOSING:
            self.enter(Phase.CLOSING)
        with suppress(OSError):
            self.client._socket.shutdown(SHUT_WR)

    def end_linger(self) -> None:
        """Make the connection's task close it if its client has had the time to do so."""
        if self.phase is Phase.CLOSING and self._linger_seconds <= 0:
            with suppress(OSError):
                self.client._socket.shutdown(SHUT_RD)

    @property
    def is_unanswered(self) -> bool:
        """Return whether a request may have begun and no byte of its answer was made."""
        is_open = self.phase is not Phase.CLOSING
        return is_open and self.http.our_state in {h11.IDLE, h11.SEND_RESPONSE}

    def send_now(self, payload: bytes) -> None:
        """Send what the kernel takes at once, from a task other than the connection's own."""
        with suppress(OSError):
            self.client._socket.send(payload)

    def describe_request(self) -> str:
        """Return method and target of the request that is in progress or unread, or ``''``."""
        if self.request is not None:
            return f'{self.request.method} {self.request.target}'
        unread = self.peek()
        if unread:
            return _describe_bytes(unread)
        return 'a part of a request' if self.phase is Phase.READING else ''

    @property
    def _linger_seconds(self) -> float:
        return self.phase_since + LINGER_SECONDS - time.monotonic()

    async def _read_to_end(self) -> None:
        remaining = MAX_DISCARDED_BYTES
        while remaining > 0:
            received = await self.client.recv(READ_SIZE)
            if not received:
                return
            remaining -= len(received)
            # Without a pause, a fast sender would keep the process and never meet the timeout.
            await curio.sleep(0)


def _describe_bytes(received: bytes) -> str:
    """Return method and target of a request that begins with ``received``."""
    first_line = received[:PEEK_SIZE].partition(b'\r\n')[0].decode('latin-1')
    return first_line.rpartition(' HTTP/')[0] or first_line or 'an empty line'


def measure_load(connections: Iterable[ServerConnection], listener: Any) -> ServerLoad:
    """Return the counts of open connections and of what waits at the socket ``listener``."""
    measured = tuple(connections)
    phases = [connection.phase for connection in measured]
    return ServerLoad(
        connections=len(measured),
        reading=phases.count(Phase.READING),
        in_progress=phases.count(Phase.ANSWERING),
        unread=sum(bool(connection.peek()) for connection in measured),
        unaccepted=listener is not None and _has_pending_connection(listener),
    )


def _has_pending_connection(listener: Any) -> bool:
    poller = select.poll()
    poller.register(listener.fileno(), select.POLLIN)
    return bool(poller.poll(0))
