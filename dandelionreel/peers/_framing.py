"""Frames over a socket: four bytes of length, then the frame."""

import struct
from typing import Any

from dandelionreel.peers._codec import FrameError, decode_frame, encode_frame
from dandelionreel.peers._messages import Frame

LENGTH = struct.Struct('>I')
READ_SIZE = 65_536
#: Above the largest answer that is forwarded; a longer frame is refused unread.
FRAME_BYTES = 16_777_216


class TrafficCounter:
    """Bytes to and from peers, by the peer's host and the kind of message."""

    def __init__(self) -> None:
        """Start with none."""
        self.bytes_by_peer: dict[tuple[str, str], int] = {}

    def add(self, host: str, kind: str, size: int) -> None:
        """Count one frame."""
        name = (host, kind)
        self.bytes_by_peer[name] = self.bytes_by_peer.get(name, 0) + size


class FrameStream:
    """Reads and writes frames on one socket, counting their bytes."""

    def __init__(self, sock: Any, traffic: TrafficCounter) -> None:
        """Use ``sock``; count in ``traffic``, by host once the peer has spoken."""
        self._host = ''
        self._sock = sock
        self._buffer = bytearray()
        self._traffic = traffic

    async def send(self, frame: Frame) -> None:
        """Write one frame; raises ``OSError``."""
        payload = encode_frame(frame)
        self._count(frame, len(payload))
        await self._sock.sendall(LENGTH.pack(len(payload)) + payload)

    async def receive(self) -> Frame | None:
        """Return the next frame, ``None`` at the end; raises ``FrameError``."""
        head = await self._read_exactly(LENGTH.size)
        if head is None:
            return None
        length = LENGTH.unpack(head)[0]
        if length > FRAME_BYTES:
            raise FrameError(f'a frame of {length} bytes; at most {FRAME_BYTES} are read')
        payload = await self._read_exactly(length)
        if payload is None:
            raise FrameError('the connection ended within a frame')
        frame = decode_frame(payload)
        self._host = frame.sender.partition('/')[0]
        self._count(frame, length)
        return frame

    async def _read_exactly(self, count: int) -> bytes | None:
        while len(self._buffer) < count:
            received = await self._sock.recv(READ_SIZE)
            if not received:
                return None
            self._buffer.extend(received)
        taken = bytes(self._buffer[:count])
        del self._buffer[:count]
        return taken

    def _count(self, frame: Frame, length: int) -> None:
        kind = type(frame.message).__name__
        self._traffic.add(self._host, kind, length + LENGTH.size)
