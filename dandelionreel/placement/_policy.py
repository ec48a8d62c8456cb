"""How each kind of work chooses its workers; every policy is a plug-in."""

import abc
from dataclasses import dataclass

from dandelionreel.backing import EPSILON, Resources
from dandelionreel.kernel import PluginKind, plugins
from dandelionreel.placement._cell import Cell, WorkerView
from dandelionreel.placement._work import BATCH, SERVICE, URGENT, Placement, RunningTask, Work

#: Workers that one decision looks at; more hardly pack better (docs/MEASUREMENTS.md).
MAX_CANDIDATES = 12
#: Workers that are searched for tasks to preempt.
MAX_PREEMPTION_WORKERS = 32
#: How much the size of the rest counts against its evenness.
SIZE_WEIGHT = 0.05
GANG = 'gang'
#: How often nothing fits into anything.
UNLIMITED_TASKS = 1_000_000


@dataclass(frozen=True)
class GangReservation:
    """Workers that a gang waits for: work that may outlast ``until`` keeps off."""

    job: str
    workers: frozenset[str]
    until: float
    expires_at: float


class PlacementPolicy(abc.ABC):
    """Chooses workers for one kind of work."""

    @abc.abstractmethod
    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return where the job goes, ``None`` when it fits nowhere now."""


def is_usable(
    work: Work,
    worker: WorkerView,
    cell: Cell,
    now: float,
    reservation: GangReservation | None,
    ends_at: float,
) -> bool:
    """Return whether the worker may take one task of the job now."""
    if not cell.fits(worker, work.demand) or worker.name in work.avoid:
        return False
    if cell.is_quarantined(worker, now):
        return False
    if reservation is None or work.id == reservation.job or worker.name not in reservation.workers:
        return True
    return ends_at <= reservation.until


def score_leftover(worker: WorkerView, demand: Resources) -> float:
    """Return how uneven the rest would be, and a little how large; less packs better.

    Evenness decides: a worker with processors but no memory left is lost to
    all. The sample starts with the fullest workers, which packs tightly.
    """
    capacity = worker.capacity
    processors = (worker.free.processors - demand.processors) / max(capacity.processors, EPSILON)
    memory = (worker.free.memory_mb - demand.memory_mb) / max(capacity.memory_mb, EPSILON)
    return abs(processors - memory) + SIZE_WEIGHT * (processors + memory)


@plugins.register(PluginKind.PLACEMENT, BATCH)
class PackedPolicy(PlacementPolicy):
    """Batch work goes where it leaves the least behind."""

    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return the best fit among the sampled workers."""
        worker = self.choose_worker(work, cell, now, reservation)
        if worker is None:
            return None
        return Placement(work, (worker.name,), reason='it leaves the least behind')

    def choose_worker(
        self,
        work: Work,
        cell: Cell,
        now: float,
        reservation: GangReservation | None,
    ) -> WorkerView | None:
        """Return the worker with the smallest leftover."""
        ends_at = now + work.run_seconds
        found = None
        found_score = float('inf')
        usable_count = 0
        for worker in cell.sample(work.demand, tightest=True):
            if not is_usable(work, worker, cell, now, reservation, ends_at):
                continue
            usable_count += 1
            score = score_leftover(worker, work.demand)
            if score < found_score:
                found, found_score = worker, score
            if usable_count >= MAX_CANDIDATES:
                break
        return found


@plugins.register(PluginKind.PLACEMENT, SERVICE)
class SpreadPolicy(PlacementPolicy):
    """Services go to the racks that run the fewest of the same customer's."""

    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return the worker with the most room in the least used rack."""
        found = None
        found_score = (float('inf'), float('inf'))
        usable_count = 0
        for worker in cell.sample(work.demand, tightest=False):
            if not is_usable(work, worker, cell, now, reservation, float('inf')):
                continue
            usable_count += 1
            score = (self._count_same_service(worker, work), -worker.free.processors)
            if score < found_score:
                found, found_score = worker, score
            if usable_count >= MAX_CANDIDATES:
                break
        if found is None:
            return None
        return Placement(work, (found.name,), reason='it runs the fewest of the same kind')

    def _count_same_service(self, worker: WorkerView, work: Work) -> float:
        return sum(
            1
            for running in worker.running_by_task.values()
            if running.customer == work.customer and running.task_class == SERVICE
        )


@plugins.register(PluginKind.PLACEMENT, URGENT)
class UrgentPolicy(PlacementPolicy):
    """Urgent work takes the first good fit, and stops lesser work if it must."""

    def __init__(self) -> None:
        """Place as batch does where there is room."""
        self._batch_policy = PackedPolicy()

    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return a worker with room, or one where stopping others makes it."""
        # A gang's hold never keeps urgent work out.
        worker = self._batch_policy.choose_worker(work, cell, now, None)
        if worker is not None:
            return Placement(work, (worker.name,), reason='it has room')
        return self._preempt(work, cell, now)

    def _preempt(self, work: Work, cell: Cell, now: float) -> Placement | None:
        best_victims: tuple[RunningTask, ...] = ()
        best_name = ''
        least_lost = float('inf')
        candidates = tuple(cell.worker_by_name.values())
        if len(candidates) > MAX_PREEMPTION_WORKERS:
            candidates = tuple(cell.random_source.sample(candidates, MAX_PREEMPTION_WORKERS))
        for worker in candidates:
            if worker.name in work.avoid or cell.is_quarantined(worker, now):
                continue
            victims = choose_victims(work, worker, now)
            if not victims:
                continue
            lost = sum(lost_processor_seconds(victim, now) for victim in victims)
            if lost < least_lost:
                best_victims, best_name, least_lost = victims, worker.name, lost
        if not best_victims:
            return None
        return Placement(
            work, (best_name,), best_victims, 'stopping lesser work there loses the least'
        )


def lost_processor_seconds(running: RunningTask, now: float) -> float:
    """Return the processor seconds that stopping a task throws away."""
    return (now - running.started_at) * max(running.demand.processors, 0.1)


def choose_victims(work: Work, worker: WorkerView, now: float) -> tuple[RunningTask, ...]:
    """Return the tasks to stop so that the job fits, empty when that is not allowed."""
    preemptible_tasks = [
        running
        for running in worker.running_by_task.values()
        if running.preemptible and running.priority < work.priority
    ]
    preemptible_tasks.sort(key=lambda running: lost_processor_seconds(running, now))
    free = worker.free
    chosen = []
    for running in preemptible_tasks:
        if work.demand.fits(free):
            break
        chosen.append(running)
        free += running.demand
    if not work.demand.fits(free):
        return ()
    return tuple(chosen)


@plugins.register(PluginKind.PLACEMENT, GANG)
class GangPolicy(PlacementPolicy):
    """All tasks of a gang at once, or none."""

    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return a worker for every task, taken in a fixed order."""
        ends_at = now + work.run_seconds
        chosen: list[str] = []
        needed = work.tasks
        for worker in cell.sample(work.demand, tightest=False):
            if not is_usable(work, worker, cell, now, reservation, ends_at):
                continue
            count = min(needed, count_fitting(work.demand, worker.free))
            if cell.is_quarantined(worker, now) or worker.probing:
                count = min(count, 1)
            chosen.extend([worker.name] * count)
            needed -= count
            if needed == 0:
                return Placement(work, tuple(chosen), reason='all tasks fit at once')
        return None

    def plan_reservation(self, work: Work, cell: Cell, now: float) -> GangReservation | None:
        """Return the workers that will have room for the gang the soonest.

        Each worker offers its rooms in the order in which its tasks end, by
        pessimistic estimates; the earliest offers are taken.
        """
        offers: list[tuple[float, str]] = []
        for worker in cell.worker_by_name.values():
            if cell.is_quarantined(worker, now):
                continue
            offers.extend(_list_offers(work.demand, worker, now))
        offers.sort()
        if len(offers) < work.tasks:
            return None
        chosen_offers = offers[: work.tasks]
        until = chosen_offers[-1][0]
        # A hold that outlasts its estimate twice over is dropped, so that a
        # wrong declaration cannot keep workers idle for good.
        expires_at = now + max(60.0, 2 * (until - now))
        return GangReservation(
            work.id, frozenset(name for _, name in chosen_offers), until, expires_at
        )


def count_fitting(demand: Resources, room: Resources) -> int:
    """Return how many tasks of that demand fit."""
    counts = [
        int(have / wanted + EPSILON)
        for wanted, have in (
            (demand.processors, room.processors),
            (demand.memory_mb, room.memory_mb),
            (demand.accelerators, room.accelerators),
        )
        if wanted > 0
    ]
    return min(counts) if counts else UNLIMITED_TASKS


def _list_offers(demand: Resources, worker: WorkerView, now: float) -> list[tuple[float, str]]:
    free = worker.free
    count = count_fitting(demand, free)
    offers = [(now, worker.name)] * count
    for running in sorted(worker.running_by_task.values(), key=_by_end):
        if running.task_class == SERVICE:
            continue
        free += running.demand
        total = count_fitting(demand, free)
        offers.extend([(max(now, running.ends_at), worker.name)] * (total - count))
        count = total
    return offers


def _by_end(running: RunningTask) -> float:
    return running.ends_at
