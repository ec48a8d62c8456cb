"""Workers of a zone and their free resources, indexed by free processors."""

import random
from collections.abc import Iterable

from dandelionreel.accounts import AccountUsage
from dandelionreel.backing import EPSILON, NO_RESOURCES, Resources
from dandelionreel.placement._work import RunningTask

#: A worker is quarantined, and gets no tasks for a time, after this many different jobs have
#: failed on it in a row.
FAILED_JOBS_TO_QUARANTINE = 3
QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 600.0


class WorkerView:
    """The dispatcher's data on one worker: capacity, running tasks and recent failures."""

    __slots__ = (
        'accelerators',
        'bucket',
        'bucket_index',
        'capacity',
        'failed_jobs',
        'free',
        'name',
        'probing',
        'quarantine_seconds',
        'quarantined_until',
        'rack',
        'running_by_task',
        'usable_capacity',
        'used',
    )

    def __init__(self, name: str, rack: str, capacity: Resources) -> None:
        """Start without tasks."""
        self.name = name
        self.rack = rack
        self.capacity = capacity
        self.usable_capacity = capacity
        self.used = NO_RESOURCES
        self.free = capacity
        self.running_by_task: dict[str, RunningTask] = {}
        self.failed_jobs: list[str] = []
        self.quarantined_until = 0.0
        self.quarantine_seconds = QUARANTINE_SECONDS
        self.probing = False
        self.bucket = -1
        self.bucket_index = -1
        self.accelerators = capacity.accelerators > 0


class _WorkerBuckets:
    """Workers grouped by their number of free processors.

    With these groups, the cost of sampling workers does not depend on their number.
    """

    def __init__(self) -> None:
        self.lists: list[list[WorkerView]] = []

    def insert(self, worker: WorkerView) -> None:
        bucket_number = max(0, int(worker.free.processors + EPSILON))
        if worker.bucket == bucket_number:
            return
        self.remove(worker)
        while len(self.lists) <= bucket_number:
            self.lists.append([])
        bucket = self.lists[bucket_number]
        worker.bucket = bucket_number
        worker.bucket_index = len(bucket)
        bucket.append(worker)

    def remove(self, worker: WorkerView) -> None:
        if worker.bucket < 0:
            return
        bucket = self.lists[worker.bucket]
        last = bucket.pop()
        if last is not worker:
            bucket[worker.bucket_index] = last
            last.bucket_index = worker.bucket_index
        worker.bucket = -1


class Cell:
    """All workers of a zone, and the resources that each customer uses there.

    These are the dispatcher's data, which may be outdated; the owner of a worker
    may still refuse to start a task.
    """

    def __init__(self, random_source: random.Random | None = None) -> None:
        """Draw random samples of workers with ``random_source``."""
        self.random_source = random_source or random.Random()
        self.worker_by_name: dict[str, WorkerView] = {}
        #: Resources in use by customer, over all workers.
        self.usage: AccountUsage[Resources] = AccountUsage(NO_RESOURCES)
        self.total_capacity = NO_RESOURCES
        self._freed_worker_by_name: dict[str, WorkerView] = {}
        self._without_accelerators = _WorkerBuckets()
        self._with_accelerators = _WorkerBuckets()

    def add_worker(self, name: str, rack: str, capacity: Resources) -> WorkerView:
        """Add a worker, or update its rack and capacity."""
        worker = self.worker_by_name.get(name)
        if worker is not None and worker.capacity == capacity:
            worker.rack = rack
            return worker
        if worker is not None:
            self.remove_worker(name)
        worker = WorkerView(name, rack, capacity)
        self.worker_by_name[name] = worker
        self.total_capacity += capacity
        self._update_bucket(worker)
        self._freed_worker_by_name[name] = worker
        return worker

    def remove_worker(self, name: str) -> None:
        """Remove a worker and its tasks."""
        worker = self.worker_by_name.pop(name, None)
        if worker is None:
            return
        for task_id in tuple(worker.running_by_task):
            self._remove_task(worker, task_id)
        self._buckets_for_worker(worker).remove(worker)
        self.total_capacity -= worker.capacity

    def set_usable_capacity(self, worker: WorkerView, capacity: Resources) -> None:
        """Set how much of the worker's capacity may be used at present."""
        if worker.usable_capacity == capacity:
            return
        worker.usable_capacity = capacity
        self._update_free_resources(worker)
        self._freed_worker_by_name[worker.name] = worker

    def add_task(self, worker: WorkerView, running: RunningTask) -> None:
        """Add a task to a worker, in place of any earlier task with the same id."""
        if running.task_id in worker.running_by_task:
            self._remove_task(worker, running.task_id)
        worker.running_by_task[running.task_id] = running
        worker.used += running.demand
        self.usage.add(running.customer, running.demand)
        self._update_free_resources(worker)

    def remove_task(self, worker: WorkerView, task_id: str) -> RunningTask | None:
        """Remove a task from a worker; return it, or ``None`` when it was not there."""
        running = self._remove_task(worker, task_id)
        if running is not None:
            self._update_free_resources(worker)
            self._freed_worker_by_name[worker.name] = worker
        return running

    def pop_freed_workers(self) -> tuple[WorkerView, ...]:
        """Return the workers that may have gained free resources since the last call."""
        freed = tuple(self._freed_worker_by_name.values())
        self._freed_worker_by_name.clear()
        return freed

    def fits_worker(self, worker: WorkerView, demand: Resources) -> bool:
        """Return whether the demand fits the free resources of the worker."""
        free = worker.free
        return (
            demand.processors <= free.processors + EPSILON
            and demand.memory_mb <= free.memory_mb + EPSILON
            and demand.accelerators <= free.accelerators + EPSILON
        )

    def is_quarantined(self, worker: WorkerView, now: float) -> bool:
        """Return whether recent failures exclude the worker from placement.

        After a quarantine the worker gets one task at a time until one succeeds.
        """
        if now < worker.quarantined_until:
            return True
        return worker.probing and bool(worker.running_by_task)

    def record_task_success(self, worker: WorkerView) -> None:
        """Clear the failures of a worker after a successful task."""
        worker.failed_jobs.clear()
        worker.probing = False
        worker.quarantine_seconds = QUARANTINE_SECONDS
        self._freed_worker_by_name[worker.name] = worker

    def record_task_failure(self, worker: WorkerView, job: str, now: float) -> bool:
        """Record a failed task; return whether the worker is quarantined as a result.

        Repeated failures of one job may be the job's fault. If several different
        jobs fail in a row, the worker is probably at fault.
        """
        if job not in worker.failed_jobs:
            worker.failed_jobs.append(job)
        if len(worker.failed_jobs) < FAILED_JOBS_TO_QUARANTINE and not worker.probing:
            return False
        worker.quarantined_until = now + worker.quarantine_seconds
        worker.quarantine_seconds = min(worker.quarantine_seconds * 2, MAX_QUARANTINE_SECONDS)
        worker.failed_jobs.clear()
        worker.probing = True
        return True

    def sample_workers(
        self,
        demand: Resources,
        *,
        tightest: bool,
    ) -> Iterable[WorkerView]:
        """Yield workers that may have enough free processors for the demand.

        With ``tightest``, the workers with the fewest free processors come
        first, otherwise those with the most. Workers with equally many come in
        list order from a random position on. Workers with accelerators come
        last if the demand includes none.
        """
        bucket_groups: tuple[_WorkerBuckets, ...] = (self._with_accelerators,)
        if not demand.accelerators:
            bucket_groups = (self._without_accelerators, self._with_accelerators)
        first_bucket = max(0, int(demand.processors + EPSILON))
        for buckets in bucket_groups:
            lists = buckets.lists[first_bucket:]
            for bucket in lists if tightest else reversed(lists):
                if not bucket:
                    continue
                start = self.random_source.randrange(len(bucket))
                yield from bucket[start:]
                yield from bucket[:start]

    def _remove_task(self, worker: WorkerView, task_id: str) -> RunningTask | None:
        running = worker.running_by_task.pop(task_id, None)
        if running is None:
            return None
        worker.used -= running.demand
        self.usage.remove(running.customer, running.demand)
        return running

    def _update_free_resources(self, worker: WorkerView) -> None:
        worker.free = worker.usable_capacity - worker.used
        self._update_bucket(worker)

    def _update_bucket(self, worker: WorkerView) -> None:
        self._buckets_for_worker(worker).insert(worker)

    def _buckets_for_worker(self, worker: WorkerView) -> _WorkerBuckets:
        return self._with_accelerators if worker.accelerators else self._without_accelerators
