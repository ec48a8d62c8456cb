"""Decides which limits a step that is overdue no longer keeps to. No I/O.

Load pattern: a step fits on what is free, but asks about few runners at a time, waits for faster
ones, or keeps off the runners that others have reserved. Each of these waits is useful while the
cell is busy. Their sum is bounded here: a step that has been ready for ``OVERDUE_SECONDS`` asks
about all free slots at once, and in a cell with much idle capacity it starts on whatever is free.

Answers take most of a second, so a step starts within 3 s even if one request has failed.
"""

from collections.abc import Iterable

from dandelionreel.cell.decisions._advice_requests import (
    EXPECTED_ALLOWED_SHARE,
    MAX_RUNNERS_PER_GANG_REQUEST,
    TICKET_LEAD_SECONDS,
    FreeSlotSearch,
    expected_advice_seconds,
)
from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._reservations import NEVER_PASSED, Reservation, StepSlots
from dandelionreel.cell.decisions._runner_choice import has_required_label
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.decisions._start_delays import StartDelays
from dandelionreel.cell.decisions._waiting_steps import Candidate

#: Free share of the CPU from which on a service counts as idle: some runs that have ended are not
#: known yet, so this is less than half.
IDLE_SHARE = 0.4
#: Seconds within which a ready step has to start. An overdue step passes reservations that start
#: later; it keeps off the others, since their gangs would never start in a busy cell.
MAX_START_SECONDS = 3.0
#: A gang starts on slower runners if the free slots are this many times its tasks.
SPARE_SLOTS_FACTOR = 1.5


class Escalation:
    """Rules for the overdue steps of one cell."""

    def __init__(self, cell: Cell, delays: StartDelays) -> None:
        """Judge the steps of ``cell`` by their ``delays``."""
        self._cell = cell
        self._delays = delays
        self._idle_services: set[str] = set()
        self._runners_with_room: dict[str, list[RunnerState]] = {}

    def begin_plan(self, usable: dict[str, dict[str, RunnerState]]) -> None:
        """Begin a plan with the usable runners by service."""
        self._idle_services = {
            service for service, runners in usable.items() if _is_idle(runners.values())
        }
        self._runners_with_room = {
            service: [runner for runner in runners.values() if runner.free_capacity.cpu > 0]
            for service, runners in usable.items()
        }

    def runners_with_room(self, candidate: Candidate) -> list[RunnerState]:
        """Return the runners with free CPU and the label that a step requires."""
        runners = self._runners_with_room.get(self._cell.service_of(candidate.job), [])
        return [runner for runner in runners if has_required_label(candidate.step, runner)]

    def is_escalated(self, candidate: Candidate) -> bool:
        """Return whether a step is overdue in spite of idle capacity."""
        if not self._delays.is_overdue(candidate.step.name):
            return False
        return (
            candidate.step.step.long_running
            or self._cell.service_of(candidate.job) in self._idle_services
        )

    def passes_reservations_from(self, candidate: Candidate, now: float) -> float:
        """Return the start from which on reservations do not keep a step from starting."""
        return now + MAX_START_SECONDS if self.is_escalated(candidate) else NEVER_PASSED

    def takes_slow_runners(self, candidate: Candidate, allowed: Iterable[RunnerState]) -> bool:
        """Return whether a gang that fits no longer waits for faster ones of its runners."""
        if not self.is_escalated(candidate):
            return False
        if candidate.queue is not None and candidate.queue.advice is not None:
            # Others may be allowed that were not asked about.
            return True
        step_slots = StepSlots(candidate.step)
        slots = sum(step_slots.on_runner(runner) for runner in allowed)
        return slots >= SPARE_SLOTS_FACTOR * len(candidate.step.tasks)

    def is_distant(self, candidate: Candidate, reservation: Reservation | None, now: float) -> bool:
        """Return whether a reservation starts later than other runners could be asked about."""
        if reservation is None or candidate.queue is None or candidate.queue.advice is None:
            return False
        advice_seconds = expected_advice_seconds(
            candidate.queue.advice, MAX_RUNNERS_PER_GANG_REQUEST
        )
        return reservation.at > now + advice_seconds + TICKET_LEAD_SECONDS

    def search_free_slots(
        self, candidate: Candidate, runners: list[RunnerState], requests_left: float
    ) -> FreeSlotSearch | None:
        """Return which of the runners a step may ask about, ``None`` if it does not ask now.

        A step that is not escalated names as many as usual, and only if it is likely to fit. An
        escalated one names all, as far as hosts are free to send the requests: otherwise its first
        tickets would expire before the last ones arrive.
        """
        if requests_left < 1 or not self._delays.may_search(candidate.step.name):
            return None
        if not self.is_escalated(candidate):
            return FreeSlotSearch(runners, EXPECTED_ALLOWED_SHARE)
        requests = min(requests_left, len(runners))
        return FreeSlotSearch(runners, 1.0, int(requests) * MAX_RUNNERS_PER_GANG_REQUEST)


def _is_idle(runners: Iterable[RunnerState]) -> bool:
    free = total = 0
    for runner in runners:
        free += max(0, runner.free_capacity.cpu)
        total += runner.registration.capacity.cpu
    return free >= IDLE_SHARE * total
