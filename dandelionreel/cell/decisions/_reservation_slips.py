"""Bounds how long reservations that are postponed hold up other steps. No I/O.

Load pattern: a gang reserves the runners on which its slots should come free in a moment, but the
runs there go on, or steps that rank before the gang take the slots. Each plan makes the
reservation anew and postpones its start, so without a bound it would never end.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.cell.decisions._escalation import MAX_START_SECONDS
from dandelionreel.cell.decisions._waiting_steps import Candidate
from dandelionreel.cell.model import StepName

#: Seconds for which a reservation holds its runners, at first and when it is tried again: a step
#: may have waited until it was overdue before. It holds on after one more of its slots has come
#: free, up to the maximum.
HOLD_SECONDS = 2.7
RETRY_HOLD_SECONDS = 1.9
PROGRESS_SECONDS = 2.0
MAX_HOLD_SECONDS = 5.0
#: Seconds for which a postponed reservation yields; they double each time, up to the maximum.
MIN_YIELD_SECONDS = 2.0
MAX_YIELD_SECONDS = 30.0


@dataclass
class _Hold:
    """One attempt of a gang to get its slots, which ends at ``until`` or ``latest``."""

    until: float
    latest: float
    free_slots: int


@dataclass
class _Attempts:
    """The present attempt of a gang, and the pause before the next one."""

    hold: _Hold | None = None
    yields_until: float = float('-inf')
    next_yield_seconds: float = MIN_YIELD_SECONDS

    @property
    def is_retry(self) -> bool:
        """Return whether an earlier attempt has failed."""
        return self.next_yield_seconds > MIN_YIELD_SECONDS


class ReservationSlips:
    """The reservations of one cell's gangs, and by how much they were postponed."""

    def __init__(self) -> None:
        """Start without reservations."""
        self._attempts_by_step: dict[StepName, _Attempts] = {}

    def begin_plan(self, candidates: Iterable[Candidate]) -> None:
        """Begin a plan: gangs that are no longer candidates are forgotten."""
        if self._attempts_by_step:
            names = {candidate.step.name for candidate in candidates}
            self._attempts_by_step = {
                name: attempts for name, attempts in self._attempts_by_step.items() if name in names
            }

    def record_plan(self, step: StepName, at: float, free_slots: int, now: float) -> bool:
        """Record a reservation for ``at``; return whether it yields to overdue steps.

        ``free_slots`` of its slots are free now.
        """
        attempts = self._attempts_by_step.setdefault(step, _Attempts())
        if now < attempts.yields_until:
            return True
        if at > now + MAX_START_SECONDS:
            # Overdue steps pass a reservation that is so far off.
            attempts.hold = None
            return False
        hold = attempts.hold
        if hold is None:
            seconds = RETRY_HOLD_SECONDS if attempts.is_retry else HOLD_SECONDS
            hold = _Hold(now + seconds, now + MAX_HOLD_SECONDS, free_slots)
            attempts.hold = hold
        elif free_slots > hold.free_slots:
            hold.free_slots = free_slots
            hold.until = max(hold.until, now + PROGRESS_SECONDS)
        if now < min(hold.until, hold.latest):
            return False
        attempts.hold = None
        attempts.yields_until = now + attempts.next_yield_seconds
        attempts.next_yield_seconds = min(2 * attempts.next_yield_seconds, MAX_YIELD_SECONDS)
        return True
