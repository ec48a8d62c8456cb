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
        #: Shapes (class, demand and number of tasks) that fitted no worker when last tried.
        self._failed_shapes: set[Shape] = set()
        self.decision_count = 0
        self.considered_count = 0

    def decide_placements(self, now: float, limit: int) -> list[Placement]:
        """Return up to ``limit`` placements; their tasks are already added to the cell."""
        self._drop_expired_reservation(now)
        self._retry_shapes_on_freed_workers()
        placed: list[Placement] = []
        self._place_urgent_jobs(now, limit, placed)
        for work in self.queue.list_nearly_due_jobs(now):
            if len(placed) >= limit:
                return placed
            self._try_place_job(work, now, placed)
        self._place_jobs_fairly(now, limit, placed)
        return placed

    def apply_placement(self, placement: Placement, now: float) -> None:
        """Add the tasks of a placement to the cell and remove the job from the queue."""
        work = placement.work
        ends_at = now + work.run_seconds
        ids = make_task_ids(work.id, work.attempt, work.tasks)
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

    def estimate_run_seconds(self, customer: str, kind: str, declared: float) -> float:
        """Return a pessimistic run time in seconds."""
        return self._estimator.estimate_run_seconds(customer, kind, declared)

    def _retry_shapes_on_freed_workers(self) -> None:
        """Try failed shapes again if a worker that has freed resources may fit them."""
        freed = self.cell.pop_freed_workers()
        if not self._failed_shapes:
            return
        for worker in freed:
            may_fit_now = [
                shape for shape in self._failed_shapes if self._shape_may_fit(shape, worker)
            ]
            self._failed_shapes.difference_update(may_fit_now)

    def _shape_may_fit(self, shape: Shape, worker: WorkerView) -> bool:
        task_class, demand, tasks = shape
        # A gang may need several workers, and an urgent job may preempt others.
        return tasks > 1 or task_class == URGENT or self.cell.fits_worker(worker, demand)

    def _place_urgent_jobs(self, now: float, limit: int, placed: list[Placement]) -> None:
        blocked: set[str] = set()
        while len(placed) < limit:
            candidates = self.queue.list_urgent_jobs(self._failed_shapes)
            ready = [work for work in candidates if work.id not in blocked]
            if not ready:
                return
            for work in ready:
                if len(placed) < limit and not self._try_place_job(work, now, placed):
                    blocked.add(work.id)

    def _place_jobs_fairly(self, now: float, limit: int, placed: list[Placement]) -> None:
        """Place one job at a time, always of the customer that comes first by fair share."""
        fair_share_keys = [
            (self._fair_share_key(customer), customer) for customer in self.queue.customers()
        ]
        heapq.heapify(fair_share_keys)
        while fair_share_keys and len(placed) < limit:
            _, customer = heapq.heappop(fair_share_keys)
            if self._place_next_job(customer, now, placed):
                heapq.heappush(fair_share_keys, (self._fair_share_key(customer), customer))

    def _fair_share_key(self, customer: str) -> tuple[bool, float]:
        used = self.cell.usage.amounts_of(customer)
        return self.queue.fair_share_key(customer, used, self.cell.total_capacity)

    def _place_next_job(self, customer: str, now: float, placed: list[Placement]) -> bool:
        candidates = self.queue.first_jobs_of_customer(customer, self._failed_shapes)
        return any(self._try_place_job(work, now, placed) for work in candidates)

    def _try_place_job(self, work: Work, now: float, placed: list[Placement]) -> bool:
        if work.shape in self._failed_shapes and not work.avoid:
            return False
        used = self.cell.usage.amounts_of(work.customer)
        if not self.queue.fits_quota(work, used):
            return False
        self.considered_count += 1
        name = GANG if work.tasks > 1 else work.task_class
        placement = self._policy_by_name[name].place(work, self.cell, now, self.reservation)
        if placement is None:
            self._mark_job_unplaceable(work, now)
            return False
        self.decision_count += 1
        self.apply_placement(placement, now)
        placed.append(placement)
        return True

    def _mark_job_unplaceable(self, work: Work, now: float) -> None:
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


def make_task_ids(job: str, attempt: int, count: int) -> Iterator[str]:
    """Yield the task ids of an attempt."""
    for index in range(count):
        yield f'{job}.{attempt}.{index}'
