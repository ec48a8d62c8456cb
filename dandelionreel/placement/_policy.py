"""Placement policies, one for each class of work; every policy is a plug-in."""

import abc
from dataclasses import dataclass

from dandelionreel.backing import EPSILON, Resources
from dandelionreel.kernel import PluginKind, plugins
from dandelionreel.placement._cell import Cell, WorkerView
from dandelionreel.placement._work import BATCH, SERVICE, URGENT, Placement, RunningTask, Work

#: Usable workers that are scored per decision; a higher number hardly improves the packing
#: (docs/MEASUREMENTS.md).
MAX_CANDIDATES = 12
#: Number of workers, drawn at random, that are searched for tasks to preempt.
MAX_PREEMPTION_WORKERS = 32
#: Weight of the amount of leftover resources in a worker's score; the imbalance between
#: leftover processors and memory has weight 1.
LEFTOVER_SIZE_WEIGHT = 0.05
GANG = 'gang'
#: The count of tasks that fit on a worker if a task demands no resources.
UNLIMITED_TASKS = 1_000_000


@dataclass(frozen=True)
class GangReservation:
    """Workers reserved for a gang; other jobs may use them only if they end by ``until``.

    At ``expires_at`` the reservation itself ends.
    """

    job: str
    workers: frozenset[str]
    until: float
    expires_at: float


class PlacementPolicy(abc.ABC):
    """Chooses workers for one class of work."""

    @abc.abstractmethod
    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return the placement of the job, ``None`` when it does not fit now."""


def is_worker_usable(
    work: Work,
    worker: WorkerView,
    cell: Cell,
    now: float,
    reservation: GangReservation | None,
    ends_at: float,
) -> bool:
    """Return whether one task of the job may start on the worker now."""
    if not cell.fits_worker(worker, work.demand) or worker.name in work.avoid:
        return False
    if cell.is_quarantined(worker, now):
        return False
    if reservation is None or work.id == reservation.job or worker.name not in reservation.workers:
        return True
    return ends_at <= reservation.until


def score_leftover_resources(worker: WorkerView, demand: Resources) -> float:
    """Return a score of the leftover resources after a start; a lower one packs better.

    The score is mostly the imbalance between processors and memory, because a
    worker with free processors but no free memory can run nothing. The amount
    counts little, because the fullest workers are sampled first anyway.
    """
    capacity = worker.capacity
    processors = (worker.free.processors - demand.processors) / max(capacity.processors, EPSILON)
    memory = (worker.free.memory_mb - demand.memory_mb) / max(capacity.memory_mb, EPSILON)
    return abs(processors - memory) + LEFTOVER_SIZE_WEIGHT * (processors + memory)


@plugins.register(PluginKind.PLACEMENT, BATCH)
class PackedPolicy(PlacementPolicy):
    """Places batch work on the worker with the best leftover score."""

    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return the best fit among the sampled workers."""
        worker = self.choose_worker(work, cell, now, reservation)
        if worker is None:
            return None
        return Placement(work, (worker.name,), reason='it has the best leftover score')

    def choose_worker(
        self,
        work: Work,
        cell: Cell,
        now: float,
        reservation: GangReservation | None,
    ) -> WorkerView | None:
        """Return the sampled worker with the lowest leftover score."""
        ends_at = now + work.run_seconds
        best = None
        best_score = float('inf')
        usable_count = 0
        for worker in cell.sample_workers(work.demand, tightest=True):
            if not is_worker_usable(work, worker, cell, now, reservation, ends_at):
                continue
            usable_count += 1
            score = score_leftover_resources(worker, work.demand)
            if score < best_score:
                best, best_score = worker, score
            if usable_count >= MAX_CANDIDATES:
                break
        return best


@plugins.register(PluginKind.PLACEMENT, SERVICE)
class SpreadPolicy(PlacementPolicy):
    """Spreads a customer's services over the workers."""

    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return the sampled worker with the fewest services of the customer."""
        best = None
        best_score = (float('inf'), float('inf'))
        usable_count = 0
        for worker in cell.sample_workers(work.demand, tightest=False):
            if not is_worker_usable(work, worker, cell, now, reservation, float('inf')):
                continue
            usable_count += 1
            score = (self._count_customer_services(worker, work), -worker.free.processors)
            if score < best_score:
                best, best_score = worker, score
            if usable_count >= MAX_CANDIDATES:
                break
        if best is None:
            return None
        return Placement(work, (best.name,), reason='it runs the fewest services of the customer')

    def _count_customer_services(self, worker: WorkerView, work: Work) -> float:
        return sum(
            1
            for running in worker.running_by_task.values()
            if running.customer == work.customer and running.task_class == SERVICE
        )


@plugins.register(PluginKind.PLACEMENT, URGENT)
class UrgentPolicy(PlacementPolicy):
    """Places urgent work like batch work, and preempts other tasks if necessary."""

    def __init__(self) -> None:
        """Use the batch policy for jobs that fit without preemption."""
        self._batch_policy = PackedPolicy()

    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return a placement on free resources, or one that preempts other tasks."""
        # Urgent jobs may use workers that are reserved for a gang.
        worker = self._batch_policy.choose_worker(work, cell, now, None)
        if worker is not None:
            return Placement(work, (worker.name,), reason='it has enough free resources')
        return self._place_by_preemption(work, cell, now)

    def _place_by_preemption(self, work: Work, cell: Cell, now: float) -> Placement | None:
        best_victims: tuple[RunningTask, ...] = ()
        best_name = ''
        least_lost = float('inf')
        candidates = tuple(cell.worker_by_name.values())
        if len(candidates) > MAX_PREEMPTION_WORKERS:
            candidates = tuple(cell.random_source.sample(candidates, MAX_PREEMPTION_WORKERS))
        for worker in candidates:
            if worker.name in work.avoid or cell.is_quarantined(worker, now):
                continue
            victims = choose_preemption_victims(work, worker, now)
            if not victims:
                continue
            lost = sum(lost_processor_seconds(victim, now) for victim in victims)
            if lost < least_lost:
                best_victims, best_name, least_lost = victims, worker.name, lost
        if not best_victims:
            return None
        return Placement(work, (best_name,), best_victims, 'preemption there loses the least work')


def lost_processor_seconds(running: RunningTask, now: float) -> float:
    """Return the processor seconds that are lost when a task is stopped."""
    return (now - running.started_at) * max(running.demand.processors, 0.1)


def choose_preemption_victims(
    work: Work, worker: WorkerView, now: float
) -> tuple[RunningTask, ...]:
    """Return the tasks to preempt on a worker so that the job fits, empty if none would do."""
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
    """Places all tasks of a gang at once, or none."""

    def place(
        self, work: Work, cell: Cell, now: float, reservation: GangReservation | None
    ) -> Placement | None:
        """Return a placement of all tasks on the first sampled workers that fit them."""
        ends_at = now + work.run_seconds
        chosen: list[str] = []
        needed = work.tasks
        for worker in cell.sample_workers(work.demand, tightest=False):
            if not is_worker_usable(work, worker, cell, now, reservation, ends_at):
                continue
            count = min(needed, count_fitting_tasks(work.demand, worker.free))
            if cell.is_quarantined(worker, now) or worker.probing:
                count = min(count, 1)
            chosen.extend([worker.name] * count)
            needed -= count
            if needed == 0:
                return Placement(work, tuple(chosen), reason='all tasks fit at once')
        return None

    def plan_reservation(self, work: Work, cell: Cell, now: float) -> GangReservation | None:
        """Reserve the workers that can run the gang the soonest.

        For each worker, the times are listed at which one more task of the gang
        fits, as the worker's current tasks end by pessimistic estimates. The
        earliest times of all workers are chosen.
        """
        fit_times: list[tuple[float, str]] = []
        for worker in cell.worker_by_name.values():
            if cell.is_quarantined(worker, now):
                continue
            fit_times.extend(_list_fit_times(work.demand, worker, now))
        fit_times.sort()
        if len(fit_times) < work.tasks:
            return None
        chosen_fit_times = fit_times[: work.tasks]
        until = chosen_fit_times[-1][0]
        # A reservation expires after twice the estimated wait, so that a wrong
        # declared run time cannot keep workers idle forever.
        expires_at = now + max(60.0, 2 * (until - now))
        return GangReservation(
            work.id, frozenset(name for _, name in chosen_fit_times), until, expires_at
        )


def count_fitting_tasks(demand: Resources, capacity: Resources) -> int:
    """Return how many tasks with that demand fit into ``capacity``."""
    counts = [
        int(available / wanted + EPSILON)
        for wanted, available in (
            (demand.processors, capacity.processors),
            (demand.memory_mb, capacity.memory_mb),
            (demand.accelerators, capacity.accelerators),
        )
        if wanted > 0
    ]
    return min(counts) if counts else UNLIMITED_TASKS


def _list_fit_times(demand: Resources, worker: WorkerView, now: float) -> list[tuple[float, str]]:
    free = worker.free
    count = count_fitting_tasks(demand, free)
    fit_times = [(now, worker.name)] * count
    for running in sorted(worker.running_by_task.values(), key=_task_end_time):
        if running.task_class == SERVICE:
            continue
        free += running.demand
        total = count_fitting_tasks(demand, free)
        fit_times.extend([(max(now, running.ends_at), worker.name)] * (total - count))
        count = total
    return fit_times


def _task_end_time(running: RunningTask) -> float:
    return running.ends_at
