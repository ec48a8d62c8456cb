"""Chooses the runners on which tasks are placed. No I/O.

Load pattern: an availability zone is cut off for some seconds, and every job with a task there has
to wait. A job's tasks are placed in the zone of its client if there are free slots, so that fewer
jobs depend on any one zone. Otherwise they use slots in other zones and do not wait.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from dandelionreel.cell.decisions._reservations import StepSlots
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.decisions._speed_levels import SINGLE_LEVEL, SpeedLevels
from dandelionreel.cell.decisions._speed_preference import NO_PREFERENCE, SpeedPreference
from dandelionreel.cell.decisions._step_run import StepRun, TaskRun, counted_demand
from dandelionreel.cell.model import Demand

#: A runner that may run a task, with the ticket for the start (empty if none is needed).
TicketedRunner = tuple[RunnerState, str]


def has_required_label(step: StepRun, runner: RunnerState) -> bool:
    """Return whether a runner has the label that a step requires."""
    required = step.step.required_label
    return not required or required in runner.registration.labels


def choose_runner(
    step: StepRun,
    task: TaskRun,
    demand: Demand,
    ticketed: list[TicketedRunner],
    zone: str = '',
    preference: SpeedPreference | None = None,
) -> TicketedRunner | None:
    """Return the best-fitting runner for a task: the one with the smallest free share afterwards.

    Runners on which the task has not failed come first, then those in the rack with its data, then
    those of a suitable speed, then those in ``zone``.

    A quarantined task goes to the runner with the least CPU in use, as it may crash its runner.
    """
    best = None
    best_key = None
    limit = step.step.max_per_runner
    rack = step.step.data_rack
    for runner, ticket in ticketed:
        if not demand.fits(runner.free_capacity) or not runner.accepts_task(
            quarantined=task.quarantined
        ):
            continue
        if limit and runner.count_step(step.name) >= limit:
            continue
        sort_key = (
            *_restart_key(task, runner),
            bool(rack) and rack not in runner.registration.labels,
            NO_PREFERENCE if preference is None else preference.key(runner),
            runner.registration.zone != zone,
            _remaining_share(demand, runner),
        )
        if best_key is None or sort_key < best_key:
            best, best_key = (runner, ticket), sort_key
    return best


def _restart_key(task: TaskRun, runner: RunnerState) -> tuple[bool, int]:
    """Return the part of a runner's sort key that depends on earlier runs of the task."""
    return runner.id in task.avoid, runner.used.cpu if task.quarantined else 0


def _remaining_share(demand: Demand, runner: RunnerState) -> float:
    """Return the sum of the free shares of CPU and memory once a task is placed on a runner."""
    capacity = runner.registration.capacity
    free = runner.free_capacity
    return (free.cpu - demand.cpu) / max(1, capacity.cpu) + (
        free.memory_mb - demand.memory_mb
    ) / max(1, capacity.memory_mb)


def group_by_location(
    step: StepRun, available: list[TicketedRunner], zone: str = ''
) -> Iterable[list[TicketedRunner]]:
    """Return the sets of runners to try for a gang, one after the other.

    Single racks come first if the step asks for one rack, then single zones with ``zone`` before
    the others, as one member behind a partition blocks the whole gang; then all runners.
    """
    if step.step.same_rack:
        by_rack: dict[str, list[TicketedRunner]] = {}
        for runner, ticket in available:
            rack = runner.registration.labels[-1] if runner.registration.labels else ''
            by_rack.setdefault(rack, []).append((runner, ticket))
        yield from sorted(by_rack.values(), key=len)
    by_zone: dict[str, list[TicketedRunner]] = {}
    for entry in available:
        by_zone.setdefault(entry[0].registration.zone, []).append(entry)
    yield from (by_zone[name] for name in sorted(by_zone, key=zone.__ne__))
    yield available


def assign_gang(
    step: StepRun, available: list[TicketedRunner], levels: SpeedLevels = SINGLE_LEVEL
) -> list[TicketedRunner] | None:
    """Return a runner for each member, or ``None`` if they do not all fit now.

    The slowest member is on as fast a level as possible. Runners of that level are used before
    faster ones, which would only wait for the slowest member.
    """
    needed = len(step.tasks)
    slots = _find_gang_slots(step, available, levels)
    slots_by_level = [0] * levels.count
    for found in slots:
        slots_by_level[found.level] += found.count
    slowest = _slowest_needed_level(slots_by_level, needed)
    if slowest is None:
        return None
    slots.sort(key=_slowest_and_fullest_first)
    assigned: list[TicketedRunner] = []
    for found in slots:
        if found.level <= slowest:
            assigned.extend([found.runner] * min(found.count, needed - len(assigned)))
    return assigned


@dataclass(frozen=True)
class _GangSlots:
    """Slots for members of a gang on one runner."""

    level: int
    remaining_share: float
    count: int
    runner: TicketedRunner


def _find_gang_slots(
    step: StepRun, available: list[TicketedRunner], levels: SpeedLevels
) -> list[_GangSlots]:
    """Return the slots on all runners that can start members of a gang now."""
    demand = counted_demand(step)
    step_slots = StepSlots(step)
    found = []
    for entry in available:
        runner = entry[0]
        count = step_slots.on_runner(runner)
        if count:
            share = _remaining_share(demand, runner)
            found.append(_GangSlots(levels.level_of(runner.id), share, count, entry))
    return found


def _slowest_needed_level(slots_by_level: list[int], needed: int) -> int | None:
    """Return the first level up to which there are enough slots, ``None`` if there are too few."""
    for level, slots in enumerate(accumulate(slots_by_level)):
        if slots >= needed:
            return level
    return None


def _slowest_and_fullest_first(slots: _GangSlots) -> tuple[int, float]:
    """Return a sort key; best fit keeps the free capacity of a level on few runners."""
    return -slots.level, slots.remaining_share
