"""Monotonic clock and Unix time behind an interface, so that tests can control time."""

import abc
import time


class Clock(abc.ABC):
    """A source of monotonic seconds and of Unix time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never decrease; only differences are meaningful."""

    @abc.abstractmethod
    def unix_time(self) -> float:
        """Return seconds since the Unix epoch, for display and long retention periods only."""


class SystemClock(Clock):
    """The clock of this host.

    ``CLOCK_BOOTTIME`` includes the time that a virtual machine was suspended.
    ``CLOCK_MONOTONIC`` does not: after a suspension, an owner would wrongly consider its
    authority still valid.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_time(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests that moves only by ``advance``."""

    def __init__(self, now: float = 1000) -> None:
        """Start at ``now`` seconds."""
        self.now = float(now)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now += seconds

    def monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def unix_time(self) -> float:
        """Return the set time."""
        return self.now
