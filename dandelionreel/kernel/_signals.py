"""Delivery of operating system signals to a curio task."""

import signal
import socket as std_socket
from collections.abc import Awaitable, Callable, Collection
from contextlib import AsyncExitStack
from typing import Any

from curio import socket

#: Bytes per read of the wake-up socket; each byte is one signal number.
SIGNAL_BYTES = 64


async def watch_signals(
    stack: AsyncExitStack,
    numbers: Collection[int],
    handle: Callable[[int], Awaitable[None]],
) -> Callable[[], Awaitable[None]]:
    """Return a coroutine function that calls ``handle`` for each of these signals.

    A Python signal handler can interrupt any task between two bytecodes. Here a signal
    arrives as a byte on a socket (``signal.set_wakeup_fd``) and is handled by a task of
    its own. Closing ``stack`` restores the previous handlers and wake-up descriptor.
    """
    reader, writer = std_socket.socketpair()
    writer.setblocking(False)
    receiver = socket.socket(fileno=reader.detach())
    stack.push_async_callback(receiver.close)
    stack.callback(writer.close)
    stack.callback(signal.set_wakeup_fd, signal.set_wakeup_fd(writer.fileno()))
    for number in numbers:
        stack.callback(signal.signal, number, signal.signal(number, _ignore_signal))

    async def watch() -> None:
        received = await receiver.recv(SIGNAL_BYTES)
        while received:
            for number in received:
                if number in numbers:
                    await handle(number)
            received = await receiver.recv(SIGNAL_BYTES)

    return watch


def _ignore_signal(number: int, frame: Any) -> None:
    """Override the default action; the signal is reported by the wake-up descriptor."""
