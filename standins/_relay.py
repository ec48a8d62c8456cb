"""A TCP relay whose links tests can cut, in one direction or in both.

A cut drops bytes and keeps connections open, as a network partition does; it
refuses no connection. Daemons are identified by their source address.
"""

from contextlib import AsyncExitStack
from typing import Any

import curio
import msgspec
from curio import socket

from dandelionreel.http import Request, Response, connect, json_response, listen

READ_SIZE = 65_536
#: Stands for every source or every target of a cut.
ANY_NAME = '*'
POLL_SECONDS = 0.05
#: The TCP_USER_TIMEOUT of the senders. The relay applies it, since its socket
#: acknowledges their bytes, so that their own timeout never runs out.
TCP_USER_TIMEOUT_SECONDS = 1.0


class Cut(msgspec.Struct, frozen=True):
    """Drops the bytes from ``source`` to ``target``."""

    source: str
    target: str


class Cuts(msgspec.Struct):
    """All cuts in effect, and the targets whose relays refuse connections."""

    cuts: tuple[Cut, ...] = ()
    closed: tuple[str, ...] = ()


class LinkFaults:
    """The cuts that all relays of a process apply."""

    def __init__(self, name_by_address: dict[str, str]) -> None:
        """Identify sources by the addresses that they connect from."""
        self._name_by_address = name_by_address
        self._cuts = Cuts()

    def replace(self, cuts: Cuts) -> None:
        """Replace all cuts."""
        self._cuts = cuts

    def handle(self, request: Request) -> Response:
        """Replace the cuts with those in the request body."""
        self._cuts = msgspec.json.decode(request.body, type=Cuts)
        return json_response(self._cuts)

    def name_of(self, address: str) -> str:
        """Return the name that belongs to a source address."""
        return self._name_by_address.get(address, address)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether bytes in this direction are dropped."""
        for cut in self._cuts.cuts:
            if cut.source in {source, ANY_NAME} and cut.target in {target, ANY_NAME}:
                return True
        return False

    def is_closed(self, target: str) -> bool:
        """Return whether the target's relay refuses connections."""
        return target in self._cuts.closed


class Relay:
    """Listens in front of one target and forwards bytes that no cut drops."""

    def __init__(
        self,
        link_faults: LinkFaults,
        target: str,
        listen_address: tuple[str, int],
        target_address: tuple[str, int],
    ) -> None:
        """Prepare a relay from ``listen_address`` to ``target_address``."""
        self._link_faults = link_faults
        self._target = target
        self._listen_address = listen_address
        self._target_address = target_address
        self._listener: Any = None

    async def start(self, stack: AsyncExitStack) -> None:
        """Run until the stack closes."""
        task = await curio.spawn(self._run, daemon=True)
        stack.push_async_callback(task.cancel)

    async def _run(self) -> None:
        while True:
            if self._link_faults.is_closed(self._target):
                await self._close()
                await curio.sleep(0.05)
                continue
            if self._listener is None:
                self._listener = listen(*self._listen_address)
            accepted = await curio.ignore_after(0.05, self._listener.accept)
            if accepted is not None:
                await curio.spawn(self._serve, *accepted, daemon=True)

    async def _close(self) -> None:
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    async def _serve(self, client: Any, address: tuple[str, int]) -> None:
        source = self._link_faults.name_of(address[0])
        try:
            upstream = await connect(*self._target_address, 60)
        except OSError:
            await client.close()
            return
        reply_task = await curio.spawn(
            self._forward,
            upstream,
            client,
            self._target,
            source,
            daemon=True,
        )
        try:
            await self._forward(client, upstream, source, self._target)
        finally:
            await reply_task.cancel()
            await client.close()
            await upstream.close()

    async def _wait_while_cut(self, source: str, target: str) -> bool:
        """Wait while a cut lasts; return False once TCP would give up.

        Bytes held up by a short cut arrive late, as from a send buffer.
        """
        waited_seconds = 0.0
        while self._link_faults.is_cut(source, target):
            if waited_seconds > TCP_USER_TIMEOUT_SECONDS:
                return False
            await curio.sleep(POLL_SECONDS)
            waited_seconds += POLL_SECONDS
        return True

    async def _forward(self, reader: Any, writer: Any, source: str, target: str) -> None:
        try:
            while True:
                received = await reader.recv(READ_SIZE)
                if not await self._wait_while_cut(source, target):
                    return
                if not received:
                    await writer.shutdown(socket.SHUT_WR)
                    return
                await writer.sendall(received)
        except OSError:
            return
