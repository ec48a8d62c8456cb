"""Chooses the runners that an owner polls. No I/O.

Load pattern: a cell has many times the runners that its work needs, and each one that is polled
costs its owner a connection and processor time. The owner polls twice as many as its work needs.
"""

import itertools
from collections.abc import Iterable, Iterator
from zlib import crc32

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._ledger import RunnerState
from dandelionreel.cell.model import Registration, Step

#: Runners that are attended to however little there is to do.
FEWEST_ACTIVE = 400
#: Share of the active runners' processors in use above which there are to be more of them,
#: and below which some idle ones are left alone.
HIGHEST_USE = 0.5
LOWEST_USE = 0.3
#: Seconds between two looks at how much is in use.
REVIEW_SECONDS = 0.5
#: Runners that are added for a step that none of the active ones suits.
SUITING_ADDED = 50
NO_RACK: list[str] = []


class ActiveRunners:
    """Chooses among the runners that are listed, for one term of an owner."""

    def __init__(self, cell: Cell) -> None:
        """Choose for the work of that cell."""
        self._cell = cell
        self._active: dict[str, None] = {}
        self._reviewed_at = float('-inf')

    def choose(self, listed: dict[str, Registration], now: float) -> dict[str, Registration]:
        """Return the registrations of the runners to attend to; all where they are few."""
        if len(listed) <= FEWEST_ACTIVE:
            return listed
        known = (*self._active, *self._cell.runner_by_id)
        self._active = {runner: None for runner in known if runner in listed}
        if now >= self._reviewed_at + REVIEW_SECONDS:
            self._reviewed_at = now
            self._review(listed)
        return {runner: listed[runner] for runner in self._active}

    def release_idle(self, listed: dict[str, Registration]) -> list[RunnerState]:
        """Return the runners that are not needed any more, which nothing is known to hold."""
        if len(listed) <= FEWEST_ACTIVE or self._use() > LOWEST_USE:
            return []
        excess = len(self._active) - self._wanted(listed)
        idle = [state for state in self._cell.runner_by_id.values() if self._is_idle(state)]
        taken = idle[: max(0, excess)]
        for state in taken:
            self._active.pop(state.id, None)
        return taken

    def _review(self, listed: dict[str, Registration]) -> None:
        missing = self._wanted(listed) - sum(_may_take(listed[one]) for one in self._active)
        if missing > 0:
            others = [one for one in listed.values() if one.runner not in self._active]
            self._active.update(dict.fromkeys(itertools.islice(_spread(others), missing)))
        for step in self._unsuited_steps(listed):
            suiting = (one for one in listed.values() if _suits(step, one) and _may_take(one))
            added = itertools.islice(suiting, SUITING_ADDED)
            self._active.update({one.runner: None for one in added})

    def _wanted(self, listed: dict[str, Registration]) -> int:
        """Return how many runners the work needs."""
        capacity = sum(listed[one].capacity.cpu for one in self._active)
        used = sum(state.used.cpu for state in self._cell.runner_by_id.values())
        usual = capacity / max(1, len(self._active))
        return max(FEWEST_ACTIVE, int(used / max(1.0, HIGHEST_USE * usual)))

    def _use(self) -> float:
        states = self._cell.runner_by_id.values()
        capacity = sum(state.registration.capacity.cpu for state in states)
        return sum(state.used.cpu for state in states) / max(1, capacity)

    def _unsuited_steps(self, listed: dict[str, Registration]) -> list[Step]:
        """Return the kinds of steps under way that no active runner suits, one of each."""
        step_by_need: dict[tuple[str, str], Step] = {}
        for job in self._cell.live_by_id.values():
            for step in job.spec.steps:
                if step.required_label or step.data_rack:
                    step_by_need[step.required_label, step.data_rack] = step
        active = [listed[one] for one in self._active]
        return [
            step
            for step in step_by_need.values()
            if not any(_suits(step, one) and _may_take(one) for one in active)
        ]

    def _is_idle(self, state: RunnerState) -> bool:
        """Return whether a runner holds nothing, and has forgotten all ends that it listed."""
        if state.id in self._cell.unseen or state.allocation_by_run:
            return False
        return state.noted == state.confirmed


def _may_take(registration: Registration) -> bool:
    return registration.usable and not registration.draining


def _suits(step: Step, registration: Registration) -> bool:
    needs = {step.required_label, step.data_rack} - {''}
    return needs <= set(registration.labels)


def _spread(registrations: Iterable[Registration]) -> Iterator[str]:
    """Return usable runners, a whole rack of each zone in turn."""
    racks_by_zone: dict[str, dict[str, list[str]]] = {}
    for one in registrations:
        if _may_take(one):
            rack = one.labels[-1] if one.labels else ''
            racks_by_zone.setdefault(one.zone, {}).setdefault(rack, []).append(one.runner)
    ordered = (
        [racks[rack] for rack in sorted(racks, key=_hash)]
        for _, racks in sorted(racks_by_zone.items())
    )
    for turn in itertools.zip_longest(*ordered, fillvalue=NO_RACK):
        for group in turn:
            yield from group


def _hash(rack: str) -> int:
    return crc32(rack.encode())
