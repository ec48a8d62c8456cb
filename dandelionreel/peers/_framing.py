"""Frames on a socket, each prefixed with its length in four bytes."""

import struct
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import curio

from dandelionreel.peers._codec import FrameError, decode_frame, encode_frame
from dandelionreel.peers._messages import Frame

LENGTH_PREFIX = struct.Struct('>I')
READ_SIZE = 65_536
#: Larger than the largest response that is forwarded; a longer frame is rejected unread.
MAX_FRAME_BYTES = 16_777_216


#: A frame up to this size is received without a share of the budget: nearly all messages.
SMALL_FRAME_BYTES = 16_384
#: Bytes of larger frames that are received at the same time, over all connections: two of the
#: largest size.
FRAME_BUDGET_BYTES = 33_554_432
#: Seconds of silence after which a large frame is given up.
STALL_SECONDS = 5.0


class FrameBudget:
    """Bytes of the large frames that a server receives, over all its connections."""

    def __init__(self, capacity: int = FRAME_BUDGET_BYTES) -> None:
        """Allow ``capacity`` bytes, and a frame of the largest size in any case."""
        self._free = max(capacity, MAX_FRAME_BYTES)

    @contextmanager
    def hold(self, size: int) -> Iterator[None]:
        """Hold the bytes of one frame; raises ``FrameError`` if they do not fit."""
        if size > self._free:
            raise FrameError(f'no memory for a frame of {size} bytes')
        self._free -= size
        try:
            yield
        finally:
            self._free += size


class TrafficCounter:
    """Counts bytes to and from peers, by the peer's host and the message type."""

    def __init__(self) -> None:
        """Start with no bytes counted."""
        self.bytes_by_peer: dict[tuple[str, str], int] = {}
        #: Bytes of answers that arrived after their request had been given up.
        self.unawaited_bytes = 0

    def add(self, host: str, kind: str, size: int) -> None:
        """Count ``size`` bytes of a message of type ``kind``."""
        name = (host, kind)
        self.bytes_by_peer[name] = self.bytes_by_peer.get(name, 0) + size


class FrameStream:
    """Reads and writes frames on one socket and counts their bytes."""

    def __init__(
        self,
        sock: Any,
        traffic: TrafficCounter,
        stall_timeout: float | None = None,
        budget: FrameBudget | None = None,
    ) -> None:
        """Use ``sock`` and count its bytes in ``traffic``; ``budget`` bounds large frames.

        The host of the counted bytes is empty until the first frame of the peer names it.
        With ``stall_timeout``, a wait of so many seconds for bytes raises ``curio.TaskTimeout``.
        """
        self._stall_timeout = stall_timeout
        self._budget = budget
        self._host = ''
        self._sock = sock
        self._buffer = bytearray()
        self._traffic = traffic
        #: Size of the frame that was received last.
        self.last_frame_bytes = 0

    async def send(self, frame: Frame) -> None:
        """Write one frame; raises ``OSError``."""
        payload = encode_frame(frame)
        self._count_bytes(frame, len(payload))
        await self._sock.sendall(LENGTH_PREFIX.pack(len(payload)) + payload)

    async def receive(self) -> Frame | None:
        """Return the next frame, ``None`` at the end of the stream; raises ``FrameError``."""
        head = await self._read_exactly(LENGTH_PREFIX.size, self._stall_timeout)
        if head is None:
            return None
        length = LENGTH_PREFIX.unpack(head)[0]
        if length > MAX_FRAME_BYTES:
            raise FrameError(f'frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}')
        payload = await self._read_payload(length)
        if payload is None:
            raise FrameError('connection closed in the middle of a frame')
        self.last_frame_bytes = length
        frame = decode_frame(payload)
        self._host = frame.sender.partition('/')[0]
        self._count_bytes(frame, length)
        return frame

    async def _read_payload(self, length: int) -> bytes | None:
        if self._budget is None or length <= SMALL_FRAME_BYTES:
            return await self._read_exactly(length, self._stall_timeout)
        with self._budget.hold(length):
            return await self._read_exactly(length, STALL_SECONDS)

    async def _read_exactly(self, count: int, stall_timeout: float | None) -> bytes | None:
        while len(self._buffer) < count:
            received = await self._receive(stall_timeout)
            if not received:
                return None
            self._buffer.extend(received)
            # Reading does not wait while bytes are there, and other tasks need their turn.
            await curio.sleep(0)
        with memoryview(self._buffer) as view:
            chunk = bytes(view[:count])
        del self._buffer[:count]
        return chunk

    async def _receive(self, stall_timeout: float | None) -> bytes:
        if stall_timeout is None:
            return bytes(await self._sock.recv(READ_SIZE))
        return bytes(await curio.timeout_after(stall_timeout, self._sock.recv, READ_SIZE))

    def _count_bytes(self, frame: Frame, length: int) -> None:
        kind = type(frame.message).__name__
        self._traffic.add(self._host, kind, length + LENGTH_PREFIX.size)
