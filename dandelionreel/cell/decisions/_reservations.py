"""Reserves runners for gangs that do not fit yet. No I/O.

Load pattern: a wide gang needs many large slots at once, while single tasks use every slot as soon
as it is free. Each waiting gang, in order of urgency, reserves the runners on which its slots come
free first; until then only tasks that end before that time may start there (backfilling).
"""

import heapq
import math
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from dandelionreel.cell.decisions._runner_state import RunnerState, expected_end
from dandelionreel.cell.decisions._speed_levels import SINGLE_LEVEL, SpeedLevels
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
#: Seconds after which a runner with capacity that does not accept a task is expected to do so:
#: usually a start is answered or a run has stopped by then.
REFUSAL_SECONDS = 0.5
#: Stands for a step that keeps off all reservations.
NEVER_PASSED = float('inf')
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
    #: Level of the slowest of the runners, and when the gang should end if it starts at ``at``.
    level: int = 0
    end: float = 0.0
    #: Whether overdue steps may start on the runners, as the start was postponed too often.
    yields: bool = False


@dataclass(frozen=True)
class SlotSearch:
    """A gang that looks for slots; times are monotonic seconds."""

    step: StepRun
    rank: Rank
    now: float
    levels: SpeedLevels = SINGLE_LEVEL
    #: Expected duration if the slowest member is on that level.
    seconds_by_level: tuple[float, ...] = (0.0,)
    #: Earliest start on the runners for which the gang has no ticket yet.
    ready_at_by_runner: dict[str, float] = field(default_factory=dict)


class Reservations:
    """The current reservations; they are kept for several plans."""

    def __init__(self, runners: int = 0) -> None:
        """Start with no reservation, for a cell with that many usable runners."""
        self._by_runner: dict[str, Reservation] = {}
        self._reserving_steps: set[StepName] = set()
        self._max_count = max(MIN_RESERVING_GANGS, runners // RUNNERS_PER_RESERVING_GANG)
        self._freed_by_runner: dict[str, list[FreedCapacity]] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no further gang may reserve runners."""
        return len(self._reserving_steps) >= self._max_count

    def may_start_task(
        self, runner: str, rank: Rank, until: float, passed_from: float = NEVER_PASSED
    ) -> bool:
        """Return whether a task that ends at ``until`` may start despite a reservation.

        Reservations that start later than ``passed_from`` do not keep it from starting. One that
        yields keeps only steps from starting that pass none (``NEVER_PASSED``).

        Steps that rank before the gang may always start: they can arrive after the reservation
        was made, as it is kept for several plans.
        """
        held = self._by_runner.get(runner)
        if held is None or held.at > passed_from:
            return True
        if held.yields and passed_from < NEVER_PASSED:
            return True
        return rank <= held.rank or until <= held.at

    def holds(self, step: StepRun) -> bool:
        """Return whether a gang holds a reservation."""
        return step.name in self._reserving_steps

    def does_yield(self, step: StepRun) -> bool:
        """Return whether overdue steps may start on the runners reserved for a gang."""
        return any(held.yields for held in self._by_runner.values() if held.step is step)

    def start_of(self, step: StepRun) -> float | None:
        """Return when the reservation of a gang starts, ``None`` if it has none."""
        starts = (held.at for held in self._by_runner.values() if held.step is step)
        return next(starts, None)

    def unreserved_runners(self, runners: Iterable[RunnerState]) -> list[RunnerState]:
        """Return the runners that no gang has reserved."""
        return [runner for runner in runners if runner.id not in self._by_runner]

    def find(self, search: SlotSearch, runners: list[RunnerState]) -> Reservation | None:
        """Return a reservation of the runners on which the gang is expected to end earliest.

        Returns ``None`` if it would not fit even with all of them empty.
        """
        return find_earliest_slots(search, runners, self._freed_by_runner)

    def remove_step(self, step: StepRun) -> None:
        """Release the runners reserved for a step that has started."""
        runners = [runner for runner, held in self._by_runner.items() if held.step is step]
        self._reserving_steps.discard(step.name)
        for runner in runners:
            self._by_runner.pop(runner)

    def add(self, reservation: Reservation) -> None:
        """Reserve the runners of a reservation for its gang."""
        self._reserving_steps.add(reservation.step.name)
        for runner in reservation.runners:
            self._by_runner[runner] = reservation


def find_earliest_slots(
    search: SlotSearch,
    runners: list[RunnerState],
    freed_by_runner: dict[str, list[FreedCapacity]],
) -> Reservation | None:
    """Return a reservation of the runners on which a gang is expected to end earliest.

    The times follow from the expected ends of other runs.

    ``freed_by_runner`` is a cache that is filled in here: the expected ends on a runner are the
    same for all gangs.
    """
    demand = counted_demand(search.step)
    limit = search.step.step.max_per_runner
    step_slots = StepSlots(search.step)
    slot_gains: list[tuple[float, str, int]] = []
    for runner in runners:
        freed = freed_by_runner.get(runner.id)
        if freed is None:
            freed = freed_by_runner[runner.id] = _accumulate_freed(runner, search.now)
        ready_at = search.ready_at_by_runner.get(runner.id, search.now)
        if step_slots.is_refused(runner):
            ready_at = max(ready_at, search.now + REFUSAL_SECONDS)
        for at, gained in _slot_gains(runner, freed, demand, limit, search.now):
            slot_gains.append((max(at, ready_at), runner.id, gained))
    return _choose_earliest_end(search, slot_gains)


def _choose_earliest_end(
    search: SlotSearch, slot_gains: list[tuple[float, str, int]]
) -> Reservation | None:
    """Return a reservation with the earliest end over all choices of the slowest level.

    One pass over the slots by time counts those of each level and of all faster ones. With a
    single level, this chooses the slots that come free first. Slots that come free at the same
    time are ordered by runner id, then by their number.
    """
    slots_by_level = [0] * search.levels.count
    seen: list[tuple[float, str, int]] = []
    best: Reservation | None = None
    heapq.heapify(slot_gains)
    while slot_gains:
        gain = heapq.heappop(slot_gains)
        if best is not None and gain[0] + search.seconds_by_level[0] >= best.end:
            break
        seen.append(gain)
        for level in _add_slots(search, slots_by_level, gain):
            end = gain[0] + search.seconds_by_level[level]
            if best is None or end < best.end:
                runners = _first_runners(search.levels, level, seen)
                best = Reservation(search.step, gain[0], runners, search.rank, level, end)
    return best


def _add_slots(
    search: SlotSearch, slots_by_level: list[int], gain: tuple[float, str, int]
) -> list[int]:
    """Count new slots on their level and all slower ones; return those that now have enough."""
    needed = len(search.step.tasks)
    reached = []
    for level in range(search.levels.level_of(gain[1]), search.levels.count):
        before = slots_by_level[level]
        slots_by_level[level] += gain[2]
        if before < needed <= slots_by_level[level]:
            reached.append(level)
    return reached


def _first_runners(
    levels: SpeedLevels, level: int, slot_gains: list[tuple[float, str, int]]
) -> frozenset[str]:
    """Return the runners of the given slots that are on a level or on a faster one."""
    return frozenset(runner for _, runner, _ in slot_gains if levels.level_of(runner) <= level)


def _accumulate_freed(runner: RunnerState, now: float) -> list[FreedCapacity]:
    ends = [
        (expected_end(allocation, now), allocation.demand)
        for allocation in runner.allocation_by_run.values()
    ]
    ends = [entry for entry in ends if math.isfinite(entry[0])]
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


class StepSlots:
    """Counts the tasks of one step that could start on a runner now.

    Searches and placements count alike: a runner that looks free, but refuses the tasks, would be
    reserved again and again.
    """

    def __init__(self, step: StepRun) -> None:
        """Count slots for tasks of ``step``."""
        self._name = step.name
        self._demand = counted_demand(step)
        self._limit = step.step.max_per_runner
        quarantined = sum(task.quarantined for task in step.tasks.active())
        needed = 1 if step.step.gang else len(step.tasks) - step.done
        self._quarantined = 0 < needed <= quarantined

    def on_runner(self, runner: RunnerState) -> int:
        """Return how many more tasks could start on a runner."""
        slots = count_slots(self._demand, runner.free_capacity, self._limit)
        if slots and self._limit:
            slots = max(0, min(slots, self._limit - runner.count_step(self._name)))
        return slots if slots and runner.accepts_task(quarantined=self._quarantined) else 0

    def is_refused(self, runner: RunnerState) -> bool:
        """Return whether a runner does not accept as many tasks as it has capacity for."""
        if not self._limit:
            return not runner.accepts_task(quarantined=self._quarantined)
        return self.on_runner(runner) < count_slots(self._demand, runner.free_capacity, self._limit)


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
