"""A TCP relay whose links tests can cut, in one direction or in both.

A cut swallows bytes and keeps connections open, as a lost network does; it
refuses nothing. Daemons are told apart by the address that they connect from.
"""

from contextlib import AsyncExitStack
from typing import Any

import curio
import msgspec
from curio import socket

from dandelionreel.http import Answer, Request, answer_json, connect, listen

READ_SIZE = 65_536
#: Whom a rule names to mean every source or target.
ANY_NAME = '*'
POLL_SECONDS = 0.05
#: The senders' TCP_USER_TIMEOUT, which a relay's own socket hides from them.
TCP_USER_TIMEOUT_SECONDS = 1.0


class Cut(msgspec.Struct, frozen=True):
    """Bytes from ``source`` to ``target`` get lost."""

    source: str
    target: str


class Cuts(msgspec.Struct):
    """All cuts in force, and relays that refuse connections."""

    cuts: tuple[Cut, ...] = ()
    closed: tuple[str, ...] = ()


class LinkFaults:
    """The cuts that all relays of one stand-in process obey."""

    def __init__(self, name_by_address: dict[str, str]) -> None:
        """Name sources by the addresses that they connect from."""
        self._name_by_address = name_by_address
        self._cuts = Cuts()

    def replace(self, cuts: Cuts) -> None:
        """Put these cuts in force instead of all others."""
        self._cuts = cuts

    def handle(self, request: Request) -> Answer:
        """Replace the cuts by those of the body."""
        self._cuts = msgspec.json.decode(request.body, type=Cuts)
        return answer_json(self._cuts)

    def name(self, address: str) -> str:
        """Return the name of a source."""
        return self._name_by_address.get(address, address)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether bytes that way get lost."""
        for cut in self._cuts.cuts:
            if cut.source in {source, ANY_NAME} and cut.target in {target, ANY_NAME}:
                return True
        return False

    def is_closed(self, target: str) -> bool:
        """Return whether the target's relay refuses connections."""
        return target in self._cuts.closed


class Relay:
    """Listens for one target and passes bytes on while no cut forbids it."""

    def __init__(
        self,
        link_faults: LinkFaults,
        target: str,
        listen_address: tuple[str, int],
        target_address: tuple[str, int],
    ) -> None:
        """Stand before ``target``."""
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
        source = self._link_faults.name(address[0])
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
        """Hold bytes back while a cut lasts; False once TCP would give up.

        Bytes that a short cut meets arrive late, as from a send buffer.
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
