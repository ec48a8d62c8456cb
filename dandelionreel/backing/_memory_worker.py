"""An in-process worker that simulates tasks, for a single daemon and for tests.

Like a real worker, it starts every task it is given without checking its capacity.
Its commands are ``run SECONDS``, which succeeds, ``fail SECONDS``, which fails, and two
that use twice the declared memory: ``grow SECONDS`` does so until it is throttled,
``swell SECONDS`` even when throttled. Any other command succeeds at once.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from dandelionreel.backing._hosts import HostEntry
from dandelionreel.backing._resources import NO_RESOURCES, Resources
from dandelionreel.backing._workers import (
    ENDED,
    LeaseRenewal,
    TaskList,
    TaskOrder,
    TaskStatus,
    WorkerError,
    WorkerService,
)
from dandelionreel.kernel import ChangeNotifier, Clock, PluginKind, SystemClock, Verdict, plugins

MILLISECONDS_PER_SECOND = 1000
POLL_SECONDS = 0.2
RUNNING = 'running'
SUCCEEDED = 'succeeded'
FAILED = 'failed'
STOPPED = 'stopped'
LAPSED = 'lapsed'
TIMED_COMMANDS = frozenset(('run', 'fail', 'grow', 'swell'))
OVERUSING_COMMANDS = frozenset(('grow', 'swell'))


@dataclass
class MemoryTask:
    """One simulated task; times are on the worker's clock."""

    id: str
    order: TaskOrder
    lease_until: float
    renewed_by: str
    state: str = RUNNING
    outcome: str = ''
    throttled: bool = False
    ended: curio.Event = field(default_factory=curio.Event)

    @property
    def command_name(self) -> str:
        """Return the command's first word."""
        return self.order.command.partition(' ')[0]

    @property
    def seconds(self) -> float:
        """Return for how many seconds the command runs."""
        command_name, _, rest = self.order.command.partition(' ')
        if command_name not in TIMED_COMMANDS:
            return 0
        return float(rest or '0')


TaskWatcher = Callable[[MemoryTask], None]


@plugins.register(PluginKind.WORKERS, 'memory')
class MemoryWorker(WorkerService):
    """Simulates tasks by waiting; a task ends as lapsed when its lease expires."""

    def __init__(self, entry: HostEntry, timeout: float = 0, clock: Clock | None = None) -> None:
        """Act as the worker ``entry``; ``timeout`` is unused."""
        self.entry = entry
        self._clock = clock or SystemClock()
        self._started_at = self._clock.monotonic()
        self._task_by_id: dict[str, MemoryTask] = {}
        self._tombstones: set[str] = set()
        self._changed = ChangeNotifier()
        self._revision = 0
        self._watchers: list[TaskWatcher] = []
        #: While set, every task fails shortly after its start.
        self.fails_all = False

    def add_watcher(self, watcher: TaskWatcher) -> None:
        """Call ``watcher`` at every start and end of a task."""
        self._watchers.append(watcher)

    async def start_task(
        self,
        task_id: str,
        order: TaskOrder,
        timeout: float,
        check: Callable[[], bool],
    ) -> None:
        """Start a task under a lease; raises ``WorkerError``."""
        if task_id in self._task_by_id or task_id in self._tombstones:
            raise WorkerError(f'{task_id} is known already', Verdict.NOT_RUN)
        if not check():
            raise WorkerError('no authority any more', Verdict.NOT_RUN)
        lease_until = self._clock.monotonic() + order.lease_ms / MILLISECONDS_PER_SECOND
        task = MemoryTask(task_id, order, lease_until, order.owner)
        self._task_by_id[task_id] = task
        await self._publish_change(task)
        await curio.spawn(self._run_task, task, daemon=True)

    async def list_tasks(self, after: int, wait: float) -> TaskList:
        """Return the task list, waiting up to ``wait`` seconds for a change."""
        if wait and after == self._revision:
            await self._changed.wait(self._changed.count, wait)
        history_ms = int((self._clock.monotonic() - self._started_at) * MILLISECONDS_PER_SECOND)
        if after == self._revision:
            return TaskList(self._revision, (), history_ms, unchanged=True)
        statuses = tuple(
            TaskStatus(
                task.id,
                task.state,
                task.order,
                task.outcome,
                measure_usage(task),
                task.renewed_by,
            )
            for task in self._task_by_id.values()
        )
        return TaskList(self._revision, statuses, history_ms)

    async def renew_leases(self, renewal: LeaseRenewal) -> None:
        """Renew the leases of running tasks; unknown tasks are ignored."""
        for task_id in renewal.task_ids:
            task = self._task_by_id.get(task_id)
            if task is not None and task.state == RUNNING:
                lease = renewal.lease_ms / MILLISECONDS_PER_SECOND
                task.lease_until = self._clock.monotonic() + lease
                task.renewed_by = renewal.holder

    async def apply_action(self, task_id: str, action: str) -> None:
        """Stop, checkpoint or throttle a task; raises ``WorkerError``.

        A stop is remembered even for an unknown task: its start may arrive later
        and must then be refused.
        """
        task = self._task_by_id.get(task_id)
        if action == 'stop':
            self._tombstones.add(task_id)
            if task is not None:
                await self._end_task(task, STOPPED)
            return
        if task is None:
            raise WorkerError(f'no task {task_id}', Verdict.NOT_RUN)
        if action == 'throttle':
            task.throttled = True

    async def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def _run_task(self, task: MemoryTask) -> None:
        duration = POLL_SECONDS / 4 if self.fails_all else task.seconds
        outcome = FAILED if self.fails_all or task.command_name == 'fail' else SUCCEEDED
        end_at = self._clock.monotonic() + duration
        while task.state == RUNNING:
            now = self._clock.monotonic()
            if task.lease_until < now:
                await self._end_task(task, LAPSED)
            elif now >= end_at:
                await self._end_task(task, outcome)
            else:
                pause = min(POLL_SECONDS, end_at - now)
                await curio.ignore_after(pause, task.ended.wait)

    async def _end_task(self, task: MemoryTask, outcome: str) -> None:
        if task.state != RUNNING:
            return
        task.state = ENDED
        task.outcome = outcome
        await task.ended.set()
        await self._publish_change(task)

    async def _publish_change(self, task: MemoryTask) -> None:
        self._revision += 1
        for watcher in self._watchers:
            watcher(task)
        await self._changed.notify()


def measure_usage(task: MemoryTask) -> Resources:
    """Return the simulated usage of a task."""
    if task.state != RUNNING:
        return NO_RESOURCES
    demand = task.order.demand
    within_demand = task.command_name == 'grow' and task.throttled
    if task.command_name not in OVERUSING_COMMANDS or within_demand:
        return demand
    return Resources(demand.processors, demand.memory_mb * 2, demand.accelerators)
