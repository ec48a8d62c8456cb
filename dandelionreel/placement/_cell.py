"""Workers of a zone and their free resources, indexed by free processors."""

import random
from collections.abc import Iterable

from dandelionreel.accounts import AccountUsage
from dandelionreel.backing import EPSILON, NO_RESOURCES, Resources
from dandelionreel.placement._work import RunningTask

#: Different jobs that fail in a row before their worker is quarantined.
FAILED_JOBS_TO_QUARANTINE = 3
QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 600.0


class WorkerView:
    """One worker: its capacity, its tasks and its recent failures."""

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


class _Buckets:
    """Workers grouped by whole free processors, so that sampling costs the same at any size."""

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

    This is the dispatcher's view, which may be outdated; the owner of each
    worker may still refuse a start.
    """

    def __init__(self, random_source: random.Random | None = None) -> None:
        """Draw samples from ``random_source``."""
        self.random_source = random_source or random.Random()
        self.worker_by_name: dict[str, WorkerView] = {}
        #: Resources in use by customer, over all workers.
        self.usage: AccountUsage[Resources] = AccountUsage(NO_RESOURCES)
        self.total = NO_RESOURCES
        self._freed_by_name: dict[str, WorkerView] = {}
        self._without_accelerators = _Buckets()
        self._with_accelerators = _Buckets()

    def add(self, name: str, rack: str, capacity: Resources) -> WorkerView:
        """Add a worker, or update its rack and capacity."""
        worker = self.worker_by_name.get(name)
        if worker is not None and worker.capacity == capacity:
            worker.rack = rack
            return worker
        if worker is not None:
            self.remove(name)
        worker = WorkerView(name, rack, capacity)
        self.worker_by_name[name] = worker
        self.total += capacity
        self._update_index(worker)
        self._freed_by_name[name] = worker
        return worker

    def remove(self, name: str) -> None:
        """Remove a worker and its tasks."""
        worker = self.worker_by_name.pop(name, None)
        if worker is None:
            return
        for task_id in tuple(worker.running_by_task):
            self._remove_task(worker, task_id)
        self._buckets_for(worker).remove(worker)
        self.total -= worker.capacity

    def set_usable_capacity(self, worker: WorkerView, capacity: Resources) -> None:
        """Set how much of the worker's capacity may be used at present."""
        if worker.usable_capacity == capacity:
            return
        worker.usable_capacity = capacity
        self._update_free(worker)
        self._freed_by_name[worker.name] = worker

    def add_task(self, worker: WorkerView, running: RunningTask) -> None:
        """Add a task to a worker, replacing an entry with the same id."""
        if running.task_id in worker.running_by_task:
            self._remove_task(worker, running.task_id)
        worker.running_by_task[running.task_id] = running
        worker.used += running.demand
        self.usage.add(running.customer, running.demand)
        self._update_free(worker)

    def remove_task(self, worker: WorkerView, task_id: str) -> RunningTask | None:
        """Remove a task from a worker; return it, or ``None`` when it was not there."""
        running = self._remove_task(worker, task_id)
        if running is not None:
            self._update_free(worker)
            self._freed_by_name[worker.name] = worker
        return running

    def pop_freed_workers(self) -> tuple[WorkerView, ...]:
        """Return the workers that may have gained free resources since the last call."""
        freed = tuple(self._freed_by_name.values())
        self._freed_by_name.clear()
        return freed

    def fits(self, worker: WorkerView, demand: Resources) -> bool:
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

    def note_success(self, worker: WorkerView) -> None:
        """Clear the failures of a worker after a successful task."""
        worker.failed_jobs.clear()
        worker.probing = False
        worker.quarantine_seconds = QUARANTINE_SECONDS
        self._freed_by_name[worker.name] = worker

    def note_failure(self, worker: WorkerView, job: str, now: float) -> bool:
        """Record a failed task; return whether the worker is quarantined for it.

        Repeated failures of one job may be the job's fault; failures of
        several different jobs in a row point to the worker.
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

    def sample(
        self,
        demand: Resources,
        *,
        tightest: bool,
    ) -> Iterable[WorkerView]:
        """Yield workers that may have enough free processors for the demand.

        ``tightest`` starts with the workers that have the fewest free
        processors; among equals the order starts at a random position.
        Workers with accelerators come last for work that needs none.
        """
        bucket_groups: tuple[_Buckets, ...] = (self._with_accelerators,)
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

    def _update_free(self, worker: WorkerView) -> None:
        worker.free = worker.usable_capacity - worker.used
        self._update_index(worker)

    def _update_index(self, worker: WorkerView) -> None:
        self._buckets_for(worker).insert(worker)

    def _buckets_for(self, worker: WorkerView) -> _Buckets:
        return self._with_accelerators if worker.accelerators else self._without_accelerators
