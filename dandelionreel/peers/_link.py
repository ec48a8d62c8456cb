"""The client side of a connection to one peer."""

from typing import Any

import curio

from dandelionreel.http import connect, shut_down
from dandelionreel.kernel import Clock, Verdict
from dandelionreel.peers._codec import FrameError
from dandelionreel.peers._framing import FrameStream, TrafficCounter
from dandelionreel.peers._messages import Frame, Message

NO_CLOCK_READING = -1.0
#: Peers are a few milliseconds away. Without this limit, each request across a network
#: partition would spend its whole timeout on connecting.
CONNECT_TIMEOUT_SECONDS = 0.3
#: Cycles of the event loop in which an answer that has arrived is still read after the timeout.
#: A host that is short of processor time detects the timeout before it reads the answer.
GRACE_CYCLES = 3


class PeerError(Exception):
    """A peer gave no answer; ``verdict`` says whether it may have acted on the message."""

    def __init__(self, message: str, verdict: Verdict, *, refused: bool = False) -> None:
        """Set the verdict; ``refused`` says that the peer's host refused the connection."""
        super().__init__(message)
        self.verdict = verdict
        self.refused = refused


class PeerClocks:
    """The last clock reading received from each peer, echoed in each frame sent to it.

    A frame can be delayed for any time in a suspended process or a socket buffer. The
    echo bounds its age by the receiver's own clock: at most ``now - echo``.
    """

    def __init__(self) -> None:
        """Start without clock readings."""
        self._clock_by_peer: dict[str, float] = {}

    def record(self, peer: str, clock: float) -> None:
        """Store the clock reading of a frame from ``peer``."""
        self._clock_by_peer[peer] = clock

    def get_last_reading(self, peer: str) -> float:
        """Return the last clock reading of ``peer``, or ``NO_CLOCK_READING``."""
        return self._clock_by_peer.get(peer, NO_CLOCK_READING)


class _PendingExchange:
    def __init__(self) -> None:
        self.event = curio.Event()
        self.answer: Frame | None = None


class PeerLink:
    """A connection to one peer that carries concurrent exchanges.

    It is opened by the first message and reopened after a failure.
    """

    def __init__(
        self,
        address: str,
        port: int,
        sender_name: str,
        clock: Clock,
        peer_clocks: PeerClocks,
        traffic: TrafficCounter,
    ) -> None:
        """Send messages to the daemon at ``address`` as ``sender_name``."""
        self._address = address
        self._port = port
        self._sender_name = sender_name
        self._clock = clock
        self._peer_clocks = peer_clocks
        self._traffic = traffic
        self._sock: Any = None
        self._stream: FrameStream | None = None
        self._reader: Any = None
        self._next_exchange = 1
        self._pending_by_exchange: dict[int, _PendingExchange] = {}
        self._lock = curio.Lock()
        #: "host/incarnation" of the daemon that answers at the address, once known.
        self.peer = ''

    async def request(self, message: Message, timeout: float) -> Frame:
        """Send a message and return the answering frame; raises ``PeerError``."""
        pending = _PendingExchange()
        exchange = self._next_exchange
        self._next_exchange += 1
        sent = False
        try:
            async with curio.timeout_after(timeout):
                async with self._lock:
                    stream = await self._open_connection(timeout)
                    self._pending_by_exchange[exchange] = pending
                    frame = self._make_frame(exchange, message)
                    sent = True
                    await stream.send(frame)
                await pending.event.wait()
        except curio.TaskTimeout as error:
            if await self._read_arrived_answer(pending):
                return self._answer_of(pending)
            # After a partly sent frame, later frames on the connection could not be parsed.
            if self._lock.locked() or not sent:
                await self.close()
            raise PeerError('no answer in time', _failure_verdict(sent)) from error
        except ConnectionRefusedError as error:
            raise PeerError('connection refused', Verdict.NOT_RUN, refused=True) from error
        except OSError as error:
            await self.close()
            raise PeerError(f'{error}', _failure_verdict(sent)) from error
        finally:
            self._pending_by_exchange.pop(exchange, None)
        return self._answer_of(pending)

    async def close(self) -> None:
        """Close the connection and fail all pending exchanges.

        Another task may be blocked in sending. The shutdown makes its send fail, and the
        socket is closed only after that.
        """
        sock, reader = self._sock, self._reader
        self._sock = self._stream = self._reader = None
        if reader is not None:
            await reader.cancel(blocking=False)
        if sock is not None:
            await shut_down(sock)
            await curio.spawn(self._close_when_unlocked, sock, daemon=True)
        for pending in tuple(self._pending_by_exchange.values()):
            await pending.event.set()

    def _answer_of(self, pending: _PendingExchange) -> Frame:
        if pending.answer is None:
            raise PeerError('connection closed before the answer', Verdict.UNKNOWN)
        return pending.answer

    async def _read_arrived_answer(self, pending: _PendingExchange) -> bool:
        """Let the reader handle what has arrived; return whether that included the answer."""
        for _ in range(GRACE_CYCLES):
            if pending.answer is not None:
                break
            await curio.sleep(0)
        return pending.answer is not None

    async def _close_when_unlocked(self, sock: Any) -> None:
        async with self._lock:
            await sock.close()

    def _make_frame(self, exchange: int, message: Message) -> Frame:
        return Frame(
            exchange,
            self._sender_name,
            self._clock.monotonic(),
            self._peer_clocks.get_last_reading(self.peer),
            message,
        )

    async def _open_connection(self, timeout: float) -> FrameStream:
        if self._stream is not None:
            return self._stream
        connect_timeout = min(timeout, CONNECT_TIMEOUT_SECONDS)
        sock = await curio.ignore_after(
            connect_timeout, connect, self._address, self._port, timeout
        )
        if sock is None:
            raise TimeoutError('no connection in time')
        self._sock = sock
        self._stream = FrameStream(sock, self._traffic)
        self._reader = await curio.spawn(self._read_answers, self._stream, daemon=True)
        return self._stream

    async def _read_answers(self, stream: FrameStream) -> None:
        try:
            while True:
                frame = await stream.receive()
                if frame is None:
                    break
                self.peer = frame.sender
                self._peer_clocks.record(frame.sender, frame.clock)
                pending = self._pending_by_exchange.get(frame.exchange)
                if pending is None:
                    self._traffic.unawaited_bytes += stream.last_frame_bytes
                    continue
                pending.answer = frame
                await pending.event.set()
        except (OSError, FrameError):
            pass
        if self._stream is stream:
            self._reader = None
            await self.close()


def _failure_verdict(sent: bool) -> Verdict:
    return Verdict.UNKNOWN if sent else Verdict.NOT_RUN
