"""Plans the placement of queued jobs on the workers of the cell."""

import heapq
from collections.abc import Iterator

from dandelionreel.kernel import PluginKind, plugins
from dandelionreel.placement._cell import Cell, WorkerView
from dandelionreel.placement._estimate import RunTimeEstimator
from dandelionreel.placement._policy import GANG, GangPolicy, GangReservation, PlacementPolicy
from dandelionreel.placement._queue import FairQueue
from dandelionreel.placement._work import URGENT, Placement, RunningTask, Shape, Work

POLICY_NAMES = ('urgent', 'service', 'batch', GANG)


class Planner:
    """Decides which jobs start on which workers, without sending or writing anything."""

    def __init__(self, cell: Cell, queue: FairQueue, estimator: RunTimeEstimator) -> None:
        """Place the jobs of ``queue`` on the workers of ``cell``."""
        self.cell = cell
        self.queue = queue
        self._estimator = estimator
        self._policy_by_name: dict[str, PlacementPolicy] = {
            name: plugins.create(PluginKind.PLACEMENT, name) for name in POLICY_NAMES
        }
        self._gang_policy = GangPolicy()
        self.reservation: GangReservation | None = None
        #: Shapes that did not fit on any worker when last tried.
        self._failed_shapes: set[Shape] = set()
        self.decision_count = 0
        self.considered_count = 0

    def decide(self, now: float, limit: int) -> list[Placement]:
        """Return up to ``limit`` placements; their tasks are already added to the cell."""
        self._drop_expired_reservation(now)
        self._retry_freed_shapes()
        placed: list[Placement] = []
        self._place_urgent(now, limit, placed)
        for work in self.queue.get_nearly_due(now):
            if len(placed) >= limit:
                return placed
            self._try_place(work, now, placed)
        self._place_fairly(now, limit, placed)
        return placed

    def apply_placement(self, placement: Placement, now: float) -> None:
        """Add the tasks of a placement to the cell and remove the job from the queue."""
        work = placement.work
        ends_at = now + work.run_seconds
        ids = task_ids(work.id, work.attempt, work.tasks)
        for task_id, name in zip(ids, placement.workers, strict=True):
            worker = self.cell.worker_by_name[name]
            self.cell.add_task(
                worker,
                RunningTask(
                    task_id,
                    work.id,
                    work.customer,
                    work.task_class,
                    work.demand,
                    now,
                    ends_at,
                    work.priority,
                    work.preemptible,
                ),
            )
        self.queue.remove(work.id)
        if self.reservation is not None and self.reservation.job == work.id:
            self.reservation = None
            self._failed_shapes.clear()

    def estimate(self, customer: str, kind: str, declared: float) -> float:
        """Return a pessimistic run time in seconds."""
        return self._estimator.estimate(customer, kind, declared)

    def _retry_freed_shapes(self) -> None:
        """Remove shapes from the failed ones if they may fit a worker that has freed resources."""
        freed = self.cell.pop_freed_workers()
        if not self._failed_shapes:
            return
        for worker in freed:
            may_fit_now = [shape for shape in self._failed_shapes if self._may_fit(shape, worker)]
            self._failed_shapes.difference_update(may_fit_now)

    def _may_fit(self, shape: Shape, worker: WorkerView) -> bool:
        task_class, demand, tasks = shape
        # A gang may need several workers, and an urgent job may preempt others.
        return tasks > 1 or task_class == URGENT or self.cell.fits(worker, demand)

    def _place_urgent(self, now: float, limit: int, placed: list[Placement]) -> None:
        blocked: set[str] = set()
        while len(placed) < limit:
            candidates = self.queue.list_urgent(self._failed_shapes)
            ready = [work for work in candidates if work.id not in blocked]
            if not ready:
                return
            for work in ready:
                if len(placed) < limit and not self._try_place(work, now, placed):
                    blocked.add(work.id)

    def _place_fairly(self, now: float, limit: int, placed: list[Placement]) -> None:
        """Place one job at a time, always of the customer with the lowest ``_entitlement``."""
        entitlements = [
            (self._entitlement(customer), customer) for customer in self.queue.customers()
        ]
        heapq.heapify(entitlements)
        while entitlements and len(placed) < limit:
            _, customer = heapq.heappop(entitlements)
            if self._place_next_job(customer, now, placed):
                heapq.heappush(entitlements, (self._entitlement(customer), customer))

    def _entitlement(self, customer: str) -> tuple[bool, float]:
        used = self.cell.usage.amounts_of(customer)
        return self.queue.entitlement(customer, used, self.cell.total)

    def _place_next_job(self, customer: str, now: float, placed: list[Placement]) -> bool:
        candidates = self.queue.heads_of_customer(customer, self._failed_shapes)
        return any(self._try_place(work, now, placed) for work in candidates)

    def _try_place(self, work: Work, now: float, placed: list[Placement]) -> bool:
        if work.shape in self._failed_shapes and not work.avoid:
            return False
        used = self.cell.usage.amounts_of(work.customer)
        if not self.queue.within_quota(work, used):
            return False
        self.considered_count += 1
        name = GANG if work.tasks > 1 else work.task_class
        placement = self._policy_by_name[name].place(work, self.cell, now, self.reservation)
        if placement is None:
            self._mark_unplaceable(work, now)
            return False
        self.decision_count += 1
        self.apply_placement(placement, now)
        placed.append(placement)
        return True

    def _mark_unplaceable(self, work: Work, now: float) -> None:
        if not work.avoid:
            self._failed_shapes.add(work.shape)
        if work.tasks > 1 and self.reservation is None and work.task_class != URGENT:
            self.reservation = self._gang_policy.plan_reservation(work, self.cell, now)

    def _drop_expired_reservation(self, now: float) -> None:
        if self.reservation is None:
            return
        if now >= self.reservation.expires_at or self.reservation.job not in self.queue:
            self.reservation = None
            self._failed_shapes.clear()


def task_ids(job: str, attempt: int, count: int) -> Iterator[str]:
    """Yield the task ids of an attempt."""
    for index in range(count):
        yield f'{job}.{attempt}.{index}'
