"""Runs coroutines of curio in virtual time: a sleep takes no time and moves the clock."""

import selectors
import time
from unittest import mock

import curio

from dandelionreel.kernel import ManualClock


class _VirtualSelector(selectors.DefaultSelector):
    """Moves the clock by the timeout instead of waiting for it."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        events = super().select(0)
        if events or timeout is not None and timeout <= 0:
            return events
        assert timeout is not None, 'all tasks wait without a timeout'
        self._clock.advance(timeout)
        return []


def run_in_virtual_time(work, *args):
    """Run ``work(clock, *args)`` until it returns, without waiting for anything."""
    clock = ManualClock()
    # Curio's kernel reads the clock when it starts to run.
    with mock.patch.object(time, 'monotonic', clock.monotonic):
        with curio.Kernel(selector=_VirtualSelector(clock)) as kernel:
            return kernel.run(work, clock, *args)
