"""Reserves runners for gangs that do not fit yet. No I/O.

Load pattern: a wide gang needs many large slots at once, while single tasks use every slot as soon
as it is free. Each waiting gang, in order of urgency, reserves the runners on which its slots come
free first; until then only tasks that end before that time may start there (backfilling).
"""

import heapq
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from dandelionreel.cell.decisions._runner_state import RunnerState, expected_end
from dandelionreel.cell.decisions._step_run import StepRun, counted_demand
from dandelionreel.cell.model import Demand, StepName

#: One gang per ``RUNNERS_PER_RESERVING_GANG`` runners may hold a reservation at the same time, and
#: at least ``MIN_RESERVING_GANGS``. With more, runners would be idle that the most urgent gangs do
#: not need yet.
MIN_RESERVING_GANGS = 4
RUNNERS_PER_RESERVING_GANG = 15
#: A task may start on a reserved runner (backfill) if it would end before the reservation starts
#: even when it takes this many times its estimate.
BACKFILL_MARGIN = 1.25
#: Larger than any number of slots: stands for "not limited by any resource".
UNLIMITED = sys.maxsize


class Rank(NamedTuple):
    """Sort key of a waiting step, compared field by field; lower ranks are placed first."""

    too_late: bool
    beyond_rate: bool
    priority: int
    lateness: int
    deadline: float
    job: str
    step: StepName


@dataclass(frozen=True)
class FreedCapacity:
    """Capacity that a runner's runs will have freed in total by ``at`` (monotonic seconds)."""

    at: float
    cpu: int
    memory_mb: int
    gpu: int


@dataclass(frozen=True)
class Reservation:
    """Runners reserved for a gang, which should start at about ``at`` (monotonic seconds)."""

    step: StepRun
    at: float
    runners: frozenset[str]
    rank: Rank


class Reservations:
    """The current reservations; they are kept for several plans."""

    def __init__(self, runners: int = 0) -> None:
        """Start with no reservation, for a cell with that many usable runners."""
        self._by_runner: dict[str, Reservation] = {}
        self._count_slots = 0
        self._max_count = max(MIN_RESERVING_GANGS, runners // RUNNERS_PER_RESERVING_GANG)
        self._freed_by_runner: dict[str, list[FreedCapacity]] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no further gang may reserve runners."""
        return self._count_slots >= self._max_count

    def may_start_task(self, runner: str, rank: Rank, until: float) -> bool:
        """Return whether a task that ends at ``until`` may start despite a reservation.

        Steps that rank before the gang may always start: they can arrive after the reservation
        was made, as it is kept for several plans.
        """
        held = self._by_runner.get(runner)
        return held is None or rank <= held.rank or until <= held.at

    def unreserved_runners(self, runners: Iterable[RunnerState]) -> list[RunnerState]:
        """Return the runners that no gang has reserved."""
        return [runner for runner in runners if runner.id not in self._by_runner]

    def find(
        self,
        step: StepRun,
        rank: Rank,
        runners: list[RunnerState],
        now: float,
    ) -> Reservation | None:
        """Return a reservation of the runners on which the gang fits earliest.

        Returns ``None`` if it would not fit even with all of them empty.
        """
        return find_earliest_slots(step, rank, runners, now, self._freed_by_runner)

    def remove_step(self, step: StepRun) -> None:
        """Release the runners reserved for a step that has started."""
        runners = [runner for runner, held in self._by_runner.items() if held.step is step]
        self._count_slots -= bool(runners)
        for runner in runners:
            self._by_runner.pop(runner)

    def add(self, reservation: Reservation) -> None:
        """Reserve the runners of a reservation for its gang."""
        self._count_slots += 1
        for runner in reservation.runners:
            self._by_runner[runner] = reservation


def find_earliest_slots(
    step: StepRun,
    rank: Rank,
    runners: list[RunnerState],
    now: float,
    freed_by_runner: dict[str, list[FreedCapacity]],
) -> Reservation | None:
    """Return a reservation of the runners on which all members of a gang fit earliest.

    The time follows from the expected ends of other runs.

    ``freed_by_runner`` is a cache that is filled in here: the expected ends on a runner are the
    same for all gangs.
    """
    demand = counted_demand(step)
    limit = step.step.max_per_runner
    slot_gains: list[tuple[float, str, int]] = []
    for runner in runners:
        freed = freed_by_runner.get(runner.id)
        if freed is None:
            freed = freed_by_runner[runner.id] = _accumulate_freed(runner, now)
        for at, gained in _slot_gains(runner, freed, demand, limit, now):
            slot_gains.append((at, runner.id, gained))
    return _choose_earliest_runners(step, rank, slot_gains)


def _choose_earliest_runners(
    step: StepRun,
    rank: Rank,
    slot_gains: list[tuple[float, str, int]],
) -> Reservation | None:
    """Return a reservation of the runners whose slots come free first.

    Slots that come free at the same time are ordered by runner id, then by their number.
    """
    needed = len(step.tasks)
    chosen: set[str] = set()
    slots = 0
    heapq.heapify(slot_gains)
    while slot_gains:
        at, runner_id, gained = heapq.heappop(slot_gains)
        slots += gained
        chosen.add(runner_id)
        if slots >= needed:
            return Reservation(step, at, frozenset(chosen), rank)
    return None


def _accumulate_freed(runner: RunnerState, now: float) -> list[FreedCapacity]:
    ends = [
        (expected_end(allocation, now), allocation.demand)
        for allocation in runner.allocation_by_run.values()
    ]
    ends.sort(key=_expected_end_time)
    freed = []
    cpu = memory_mb = gpu = 0
    for at, demand in ends:
        cpu += demand.cpu
        memory_mb += demand.memory_mb
        gpu += demand.gpu
        freed.append(FreedCapacity(at, cpu, memory_mb, gpu))
    return freed


def _slot_gains(
    runner: RunnerState,
    freed: list[FreedCapacity],
    demand: Demand,
    limit: int,
    now: float,
) -> list[tuple[float, int]]:
    """Return the times at which slots on a runner come free, and how many each time."""
    slot_gains = []
    free = runner.free_capacity
    slots = count_slots(demand, free, limit)
    if slots:
        slot_gains.append((now, slots))
    for later in freed:
        slots_then = _count_slots(
            demand,
            free.cpu + later.cpu,
            free.memory_mb + later.memory_mb,
            free.gpu + later.gpu,
            limit,
        )
        if slots_then > slots:
            slot_gains.append((later.at, slots_then - slots))
            slots = slots_then
    return slot_gains


def _expected_end_time(entry: tuple[float, Demand]) -> float:
    return entry[0]


def count_slots(demand: Demand, free: Demand, limit: int = 0) -> int:
    """Return how many tasks of ``demand`` each fit into ``free``; 0 as ``limit`` is no limit."""
    return _count_slots(demand, free.cpu, free.memory_mb, free.gpu, limit)


def _count_slots(demand: Demand, cpu: int, memory_mb: int, gpu: int, limit: int) -> int:
    """Return how many tasks fit; takes plain numbers, as building a ``Demand`` is slow here."""
    slots = UNLIMITED
    if demand.cpu:
        slots = cpu // demand.cpu
    if demand.memory_mb and memory_mb // demand.memory_mb < slots:
        slots = memory_mb // demand.memory_mb
    if demand.gpu and gpu // demand.gpu < slots:
        slots = gpu // demand.gpu
    if slots <= 0 or slots == UNLIMITED:
        return 0
    return limit if 0 < limit < slots else slots
