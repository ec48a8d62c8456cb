"""Signals of the operating system, passed on within curio."""

import signal
import socket as std_socket
from collections.abc import Awaitable, Callable, Collection
from contextlib import AsyncExitStack
from typing import Any

from curio import socket

#: Bytes read at once; each is the number of one signal.
SIGNAL_BYTES = 64


async def watch_signals(
    stack: AsyncExitStack,
    numbers: Collection[int],
    handle: Callable[[int], Awaitable[None]],
) -> Callable[[], Awaitable[None]]:
    """Return a coroutine function that passes each of these signals to ``take``.

    Python's own handlers run between two bytecodes of whatever task is at work;
    here a signal is a byte on a socket, taken by a task of its own. ``stack`` puts
    everything back as it was.
    """
    reader, writer = std_socket.socketpair()
    writer.setblocking(False)
    receiver = socket.socket(fileno=reader.detach())
    stack.push_async_callback(receiver.close)
    stack.callback(writer.close)
    stack.callback(signal.set_wakeup_fd, signal.set_wakeup_fd(writer.fileno()))
    for number in numbers:
        stack.callback(signal.signal, number, signal.signal(number, _ignore))

    async def watch() -> None:
        received = await receiver.recv(SIGNAL_BYTES)
        while received:
            for number in received:
                if number in numbers:
                    await handle(number)
            received = await receiver.recv(SIGNAL_BYTES)

    return watch


def _ignore(number: int, frame: Any) -> None:
    """Take the signal's default action away; the wake-up descriptor tells of it."""
