"""Chooses the runners that tasks are placed on. No I/O.

Load pattern: an availability zone is cut off for some seconds, and a job with a task in there waits
for it. A job's tasks stay in the zone of its client as long as that costs no seat, so that fewer
jobs have one there.
"""

from collections.abc import Iterable

from dandelionreel.cell.decisions._ledger import RunnerState
from dandelionreel.cell.decisions._reservations import count_slots
from dandelionreel.cell.decisions._step_runs import StepRun, TaskRun, counted_demand
from dandelionreel.cell.model import Demand

#: A runner that may take a task, with the ticket that the start carries.
Seat = tuple[RunnerState, str]


def suits(step: StepRun, runner: RunnerState) -> bool:
    """Return whether a runner has the label that a step requires."""
    required = step.step.required_label
    return not required or required in runner.registration.labels


def choose_seat(
    step: StepRun,
    task: TaskRun,
    demand: Demand,
    seats: list[Seat],
    zone: str = '',
) -> Seat | None:
    """Return the runner that is left with the least room, of those that fit.

    Those of ``zone`` come first. One that is quarantined goes where the least is lost
    with it.
    """
    best = None
    best_key = None
    limit = step.step.max_per_runner
    rack = step.step.data_rack
    for runner, ticket in seats:
        if not demand.fits(runner.room) or not runner.takes(quarantined=task.quarantined):
            continue
        if limit and runner.count_step(step.name) >= limit:
            continue
        key = (
            runner.id in task.avoid,
            runner.used.cpu if task.quarantined else 0,
            bool(rack) and rack not in runner.registration.labels,
            runner.registration.zone != zone,
            _left_over(demand, runner),
        )
        if best_key is None or key < best_key:
            best, best_key = (runner, ticket), key
    return best


def _left_over(demand: Demand, runner: RunnerState) -> float:
    """Return the share of a runner that stays free, processors and memory together."""
    capacity = runner.registration.capacity
    room = runner.room
    return (room.cpu - demand.cpu) / max(1, capacity.cpu) + (
        room.memory_mb - demand.memory_mb
    ) / max(1, capacity.memory_mb)


def group_seats(step: StepRun, allowed: list[Seat], zone: str = '') -> Iterable[list[Seat]]:
    """Return the sets of runners to try for a gang: single racks first where asked.

    Then single zones, that ``zone`` first: a gang is as good as its member behind a cut.
    """
    if step.step.same_rack:
        by_rack: dict[str, list[Seat]] = {}
        for runner, ticket in allowed:
            rack = runner.registration.labels[-1] if runner.registration.labels else ''
            by_rack.setdefault(rack, []).append((runner, ticket))
        yield from sorted(by_rack.values(), key=len)
    by_zone: dict[str, list[Seat]] = {}
    for seat in allowed:
        by_zone.setdefault(seat[0].registration.zone, []).append(seat)
    yield from (by_zone[name] for name in sorted(by_zone, key=zone.__ne__))
    yield allowed


def seat_gang(step: StepRun, allowed: list[Seat]) -> list[Seat] | None:
    """Return a runner for each member, or ``None`` when not all fit at once."""
    demand = counted_demand(step)
    limit = step.step.max_per_runner
    quarantined = any(task.quarantined for task in step.tasks)
    seats: list[Seat] = []
    needed = len(step.tasks)
    # Fullest runners first: what stays free stays together.
    ordered = sorted(allowed, key=lambda seat: _left_over(demand, seat[0]))
    for runner, ticket in ordered:
        if not runner.takes(quarantined=quarantined):
            continue
        slots = count_slots(demand, runner.room, limit)
        if limit:
            slots = min(slots, limit - runner.count_step(step.name))
        seats.extend([(runner, ticket)] * min(slots, needed - len(seats)))
        if len(seats) == needed:
            return seats
    return None
