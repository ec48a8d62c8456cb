"""The workers of a zone as placement sees them, indexed by free processors."""

import random
from collections.abc import Iterable

from dandelionreel.accounts import Usage
from dandelionreel.backing import EPSILON, NOTHING, Resources
from dandelionreel.placement._work import RunningTask

#: Consecutive failures of different jobs after which a worker gets no work.
FAILURES_TO_QUARANTINE = 3
QUARANTINE_SECONDS = 30.0
QUARANTINE_LIMIT = 600.0


class WorkerView:
    """One worker: what it has, what is taken, and how it has behaved."""

    __slots__ = (
        'accelerators',
        'bucket',
        'capacity',
        'failed_jobs',
        'free',
        'name',
        'place',
        'probing',
        'quarantine',
        'quarantined_until',
        'rack',
        'room',
        'running_by_task',
        'used',
    )

    def __init__(self, name: str, rack: str, capacity: Resources) -> None:
        """Start empty."""
        self.name = name
        self.rack = rack
        self.capacity = capacity
        self.room = capacity
        self.used = NOTHING
        self.free = capacity
        self.running_by_task: dict[str, RunningTask] = {}
        self.failed_jobs: list[str] = []
        self.quarantined_until = 0.0
        self.quarantine = QUARANTINE_SECONDS
        self.probing = False
        self.bucket = -1
        self.place = -1
        self.accelerators = capacity.accelerators > 0


class _Buckets:
    """Workers in lists by whole free processors, so that a sample costs the same at any size."""

    def __init__(self) -> None:
        self.lists: list[list[WorkerView]] = []

    def put(self, worker: WorkerView) -> None:
        wanted = max(0, int(worker.free.processors + EPSILON))
        if worker.bucket == wanted:
            return
        self.take(worker)
        while len(self.lists) <= wanted:
            self.lists.append([])
        bucket = self.lists[wanted]
        worker.bucket = wanted
        worker.place = len(bucket)
        bucket.append(worker)

    def take(self, worker: WorkerView) -> None:
        if worker.bucket < 0:
            return
        bucket = self.lists[worker.bucket]
        last = bucket.pop()
        if last is not worker:
            bucket[worker.place] = last
            last.place = worker.place
        worker.bucket = -1


class Cell:
    """All workers of a zone, and what each customer uses there.

    The dispatcher's picture: the owner of each worker has the last word.
    """

    def __init__(self, source: random.Random | None = None) -> None:
        """Draw samples from ``source``."""
        self.source = source or random.Random()
        self.worker_by_name: dict[str, WorkerView] = {}
        #: What each customer uses, all workers together.
        self.usage: Usage[Resources] = Usage(NOTHING)
        self.total = NOTHING
        self._freed: dict[str, WorkerView] = {}
        self._plain = _Buckets()
        self._accelerated = _Buckets()

    def add(self, name: str, rack: str, capacity: Resources) -> WorkerView:
        """Add a worker, or change what it has."""
        worker = self.worker_by_name.get(name)
        if worker is not None and worker.capacity == capacity:
            worker.rack = rack
            return worker
        if worker is not None:
            self.remove(name)
        worker = WorkerView(name, rack, capacity)
        self.worker_by_name[name] = worker
        self.total += capacity
        self._index(worker)
        self._freed[name] = worker
        return worker

    def remove(self, name: str) -> None:
        """Forget a worker and what ran there."""
        worker = self.worker_by_name.pop(name, None)
        if worker is None:
            return
        for task_id in tuple(worker.running_by_task):
            self._drop(worker, task_id)
        self._buckets(worker).take(worker)
        self.total -= worker.capacity

    def set_usable_capacity(self, worker: WorkerView, room: Resources) -> None:
        """Change how much of the worker may be filled at present."""
        if worker.room == room:
            return
        worker.room = room
        self._update(worker)
        self._freed[worker.name] = worker

    def add_task(self, worker: WorkerView, running: RunningTask) -> None:
        """Count a task on a worker."""
        if running.task_id in worker.running_by_task:
            self._drop(worker, running.task_id)
        worker.running_by_task[running.task_id] = running
        worker.used += running.demand
        self.usage.add(running.customer, running.demand)
        self._update(worker)

    def remove_task(self, worker: WorkerView, task_id: str) -> RunningTask | None:
        """Stop counting a task; return it, or ``None`` when it was not counted."""
        running = self._drop(worker, task_id)
        if running is not None:
            self._update(worker)
            self._freed[worker.name] = worker
        return running

    def take_freed(self) -> tuple[WorkerView, ...]:
        """Return the workers that may have made room since the last question."""
        freed = tuple(self._freed.values())
        self._freed.clear()
        return freed

    def fits(self, worker: WorkerView, demand: Resources) -> bool:
        """Return whether the demand fits what is free on the worker."""
        free = worker.free
        return (
            demand.processors <= free.processors + EPSILON
            and demand.memory_mb <= free.memory_mb + EPSILON
            and demand.accelerators <= free.accelerators + EPSILON
        )

    def is_quarantined(self, worker: WorkerView, now: float) -> bool:
        """Return whether its failures keep new work away.

        After a quarantine one task at a time is tried until one succeeds.
        """
        if now < worker.quarantined_until:
            return True
        return worker.probing and bool(worker.running_by_task)

    def note_success(self, worker: WorkerView) -> None:
        """A task ended well: the worker is trusted again."""
        worker.failed_jobs.clear()
        worker.probing = False
        worker.quarantine = QUARANTINE_SECONDS
        self._freed[worker.name] = worker

    def note_failure(self, worker: WorkerView, job: str, now: float) -> bool:
        """A task failed there; return whether the worker is quarantined for it.

        One job that fails again and again says nothing about the worker;
        several different ones in a row do.
        """
        if job not in worker.failed_jobs:
            worker.failed_jobs.append(job)
        if len(worker.failed_jobs) < FAILURES_TO_QUARANTINE and not worker.probing:
            return False
        worker.quarantined_until = now + worker.quarantine
        worker.quarantine = min(worker.quarantine * 2, QUARANTINE_LIMIT)
        worker.failed_jobs.clear()
        worker.probing = True
        return True

    def sample(
        self,
        demand: Resources,
        *,
        tightest: bool,
    ) -> Iterable[WorkerView]:
        """Yield workers that may have room for the demand.

        ``tightest`` starts with those that have the fewest free processors;
        among equals the order starts at a random place. Workers with
        accelerators come last for work that needs none.
        """
        groups: tuple[_Buckets, ...] = (self._accelerated,)
        if not demand.accelerators:
            groups = (self._plain, self._accelerated)
        lowest = max(0, int(demand.processors + EPSILON))
        for buckets in groups:
            lists = buckets.lists[lowest:]
            for bucket in lists if tightest else reversed(lists):
                if not bucket:
                    continue
                start = self.source.randrange(len(bucket))
                yield from bucket[start:]
                yield from bucket[:start]

    def _drop(self, worker: WorkerView, task_id: str) -> RunningTask | None:
        running = worker.running_by_task.pop(task_id, None)
        if running is None:
            return None
        worker.used -= running.demand
        self.usage.remove(running.customer, running.demand)
        return running

    def _update(self, worker: WorkerView) -> None:
        worker.free = worker.room - worker.used
        self._index(worker)

    def _index(self, worker: WorkerView) -> None:
        self._buckets(worker).put(worker)

    def _buckets(self, worker: WorkerView) -> _Buckets:
        return self._accelerated if worker.accelerators else self._plain
