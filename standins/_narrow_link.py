"""A TCP link of a fixed rate, which all connections of a host share."""

import time
from contextlib import AsyncExitStack
from typing import Any

import curio
from curio import socket

from dandelionreel.http import connect, listen

#: Small, so that concurrent connections take turns often.
PIECE_BYTES = 4096
CONNECT_TIMEOUT_SECONDS = 60


class NarrowLink:
    """Relays connections; the bytes that arrive at the host on any of them share its rate."""

    def __init__(self, bytes_per_second: float) -> None:
        """Set the rate of the direction to the host; the other direction is not limited."""
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0
        #: Bytes that have arrived at the host.
        self.carried_bytes = 0

    async def open_port(self, stack: AsyncExitStack, address: str, port: int) -> int:
        """Relay a new port on loopback to this address until the stack closes; return the port."""
        listener = listen('127.0.0.1', 0)
        stack.push_async_callback(listener.close)
        task = await curio.spawn(self._accept_connections, listener, address, port, daemon=True)
        stack.push_async_callback(task.cancel)
        return int(listener.getsockname()[1])

    async def carry(self, size: int) -> None:
        """Wait until ``size`` bytes have arrived at the host."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self._bytes_per_second
        await curio.sleep(self._free_at - now)
        self.carried_bytes += size

    async def _accept_connections(self, listener: Any, address: str, port: int) -> None:
        while True:
            client, _ = await listener.accept()
            await curio.spawn(self._serve, client, address, port, daemon=True)

    async def _serve(self, client: Any, address: str, port: int) -> None:
        upstream = await connect(address, port, CONNECT_TIMEOUT_SECONDS)
        inward = await curio.spawn(self._forward, upstream, client, True, daemon=True)
        try:
            await self._forward(client, upstream, False)
        finally:
            await inward.cancel()
            await client.close()
            await upstream.close()

    async def _forward(self, reader: Any, writer: Any, is_inward: bool) -> None:
        try:
            while True:
                received = await reader.recv(PIECE_BYTES)
                if not received:
                    await writer.shutdown(socket.SHUT_WR)
                    return
                if is_inward:
                    await self.carry(len(received))
                await writer.sendall(received)
        except OSError:
            return
