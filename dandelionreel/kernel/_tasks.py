"""Background tasks that an exit stack owns."""

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
    """Run ``work`` in the background until the stack closes; return its task."""
    task = await curio.spawn(_supervise, work, args, daemon=True)
    stack.push_async_callback(task.cancel)
    return task


async def _supervise(work: Callable[..., Awaitable[None]], args: tuple[Any, ...]) -> None:
    """Run ``work``, again after a failure that it did not foresee.

    Each background loop looks at the whole state in every round, so a new
    start picks up where the failed one stopped. A daemon that exited instead
    would cut off the requests in flight.
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
    """Wakes every waiter each time that something has changed.

    A waiter that takes the count before it looks at the state cannot miss a
    change between the look and the wait.
    """

    def __init__(self) -> None:
        """Start with no change seen."""
        self.count = 0
        self._event = curio.Event()

    async def notify(self) -> None:
        """Wake all waiters."""
        self.count += 1
        former_event = self._event
        self._event = curio.Event()
        await former_event.set()

    async def wait(self, seen: int, seconds: float) -> bool:
        """Wait until the count differs from ``seen``; False after ``seconds``."""
        if self.count != seen:
            return True
        async with curio.ignore_after(seconds):
            await self._event.wait()
        return self.count != seen
