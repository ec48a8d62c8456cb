"""Selects the subset of runners that an owner polls. No I/O.

Load pattern: a cell has many times more runners than its work needs, and each polled runner costs
the owner a connection and CPU time. The owner polls about twice as many runners as the work needs.
"""

import itertools
from collections.abc import Iterable, Iterator
from zlib import crc32

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.model import Registration, Step

#: Number of runners that an owner polls even when the cell is idle.
MIN_ACTIVE_RUNNERS = 400
#: Runners are added above the first CPU utilization of the active runners; below the second one,
#: idle runners are released, so that they are no longer polled.
MAX_CPU_UTILIZATION = 0.5
MIN_CPU_UTILIZATION = 0.3
#: Seconds between two checks of the utilization.
REVIEW_INTERVAL_SECONDS = 0.5
#: Runners added for a step whose label or rack no active runner has.
RUNNERS_ADDED_PER_STEP = 50
EMPTY_RACK: list[str] = []


class ActiveRunners:
    """Tracks which registered runners are active, that is, polled, in one term of an owner."""

    def __init__(self, cell: Cell) -> None:
        """Choose enough active runners for the work in ``cell``."""
        self._cell = cell
        self._active: dict[str, None] = {}
        self._last_review_at = float('-inf')

    def choose_runners_to_poll(
        self, listed: dict[str, Registration], now: float
    ) -> dict[str, Registration]:
        """Return the registrations of the runners to poll: all, if there are only a few."""
        if len(listed) <= MIN_ACTIVE_RUNNERS:
            return listed
        known = (*self._active, *self._cell.runner_by_id)
        self._active = {runner: None for runner in known if runner in listed}
        if now >= self._last_review_at + REVIEW_INTERVAL_SECONDS:
            self._last_review_at = now
            self._add_runners(listed)
        return {runner: listed[runner] for runner in self._active}

    def release_idle_runners(self, listed: dict[str, Registration]) -> list[RunnerState]:
        """Deactivate and return surplus runners that are known to have no runs."""
        if len(listed) <= MIN_ACTIVE_RUNNERS or self._cpu_utilization() > MIN_CPU_UTILIZATION:
            return []
        excess = len(self._active) - self._target_runner_count(listed)
        idle = [state for state in self._cell.runner_by_id.values() if self._is_runner_idle(state)]
        released = idle[: max(0, excess)]
        for state in released:
            self._active.pop(state.id, None)
        return released

    def _add_runners(self, listed: dict[str, Registration]) -> None:
        missing = self._target_runner_count(listed) - sum(
            _accepts_starts(listed[runner]) for runner in self._active
        )
        if missing > 0:
            others = [
                registration
                for registration in listed.values()
                if registration.runner not in self._active
            ]
            self._active.update(dict.fromkeys(itertools.islice(_interleave_zones(others), missing)))
        for step in self._steps_without_runner(listed):
            eligible = (
                registration
                for registration in listed.values()
                if _meets_step_requirements(step, registration) and _accepts_starts(registration)
            )
            added = itertools.islice(eligible, RUNNERS_ADDED_PER_STEP)
            self._active.update({registration.runner: None for registration in added})

    def _target_runner_count(self, listed: dict[str, Registration]) -> int:
        """Return how many active runners keep utilization within ``MAX_CPU_UTILIZATION``."""
        capacity = sum(listed[runner].capacity.cpu for runner in self._active)
        used = sum(state.used.cpu for state in self._cell.runner_by_id.values())
        mean_capacity = capacity / max(1, len(self._active))
        return max(MIN_ACTIVE_RUNNERS, int(used / max(1.0, MAX_CPU_UTILIZATION * mean_capacity)))

    def _cpu_utilization(self) -> float:
        states = self._cell.runner_by_id.values()
        capacity = sum(state.registration.capacity.cpu for state in states)
        return sum(state.used.cpu for state in states) / max(1, capacity)

    def _steps_without_runner(self, listed: dict[str, Registration]) -> list[Step]:
        """Return steps that no active runner can take, one for each label and rack."""
        step_by_need: dict[tuple[str, str], Step] = {}
        for job in self._cell.unfinished_job_by_id.values():
            for step in job.spec.steps:
                if step.required_label or step.data_rack:
                    step_by_need[step.required_label, step.data_rack] = step
        active = [listed[runner] for runner in self._active]
        return [
            step
            for step in step_by_need.values()
            if not any(
                _meets_step_requirements(step, registration) and _accepts_starts(registration)
                for registration in active
            )
        ]

    def _is_runner_idle(self, state: RunnerState) -> bool:
        """Return whether a runner has no runs and has discarded every run end that it listed."""
        if state.id in self._cell.unseen_runners or state.allocation_by_run:
            return False
        return state.processed_end == state.confirmed_end


def _accepts_starts(registration: Registration) -> bool:
    return registration.usable and not registration.draining


def _meets_step_requirements(step: Step, registration: Registration) -> bool:
    required = {step.required_label, step.data_rack} - {''}
    return required <= set(registration.labels)


def _interleave_zones(registrations: Iterable[Registration]) -> Iterator[str]:
    """Return the usable runners rack by rack, alternating between the zones."""
    racks_by_zone: dict[str, dict[str, list[str]]] = {}
    for registration in registrations:
        if _accepts_starts(registration):
            rack = registration.labels[-1] if registration.labels else ''
            racks_by_zone.setdefault(registration.zone, {}).setdefault(rack, []).append(
                registration.runner
            )
    racks_in_order = (
        [racks[rack] for rack in sorted(racks, key=_rack_hash)]
        for _, racks in sorted(racks_by_zone.items())
    )
    for one_rack_per_zone in itertools.zip_longest(*racks_in_order, fillvalue=EMPTY_RACK):
        for rack_runners in one_rack_per_zone:
            yield from rack_runners


def _rack_hash(rack: str) -> int:
    return crc32(rack.encode())
