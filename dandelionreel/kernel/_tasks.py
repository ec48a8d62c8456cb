"""Supervised background tasks and change notification."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import curio
import eliot

RESTART_SECONDS = 1.0


async def start_task(
    stack: AsyncExitStack,
    work: Callable[..., Awaitable[None]],
    *args: Any,
) -> Any:
    """Run ``work`` in the background until ``stack`` closes; return its task."""
    task = await curio.spawn(_supervise_task, work, args, daemon=True)
    stack.push_async_callback(task.cancel)
    return task


async def _supervise_task(work: Callable[..., Awaitable[None]], args: tuple[Any, ...]) -> None:
    """Run ``work`` and restart it after an unexpected exception.

    Each background loop reads the whole state in every iteration, so a restarted
    loop continues where the failed one stopped. Exiting the daemon instead would
    abort the requests in flight.
    """
    while True:
        try:
            await work(*args)
        except Exception:
            eliot.write_traceback()
            await curio.sleep(RESTART_SECONDS)
            continue
        return


class ChangeNotifier:
    """Counts changes and wakes all waiters at each one.

    A waiter that reads ``count`` before it reads the state cannot miss a change
    that happens before it starts to wait.
    """

    def __init__(self) -> None:
        """Start with a count of zero."""
        self.count = 0
        self._event = curio.Event()

    async def notify(self) -> None:
        """Count a change and wake all waiters."""
        self.count += 1
        former_event = self._event
        self._event = curio.Event()
        await former_event.set()

    async def wait(self, seen: int, seconds: float) -> bool:
        """Wait until ``count`` differs from ``seen``; return False after ``seconds``."""
        if self.count != seen:
            return True
        async with curio.ignore_after(seconds):
            await self._event.wait()
        return self.count != seen
