"""A worker in this process: for one daemon alone, and the core of the tests' stand-in.

It starts what it is given, whether it fits or not, as real workers do. The
commands that it knows are ``run SECONDS``, ``fail SECONDS``, and two that use
twice the memory they declared: ``grow SECONDS`` until throttled, ``swell
SECONDS`` whatever it is told. Any other command ends well at once.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from dandelionreel.backing._hosts import HostEntry
from dandelionreel.backing._resources import NOTHING, Resources
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

MILLISECONDS = 1000
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
    """One task; times are on the worker's clock."""

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
        """Return how long the command wants to run."""
        command_name, _, rest = self.order.command.partition(' ')
        if command_name not in TIMED_COMMANDS:
            return 0
        return float(rest or '0')


TaskWatcher = Callable[[MemoryTask], None]


@plugins.register(PluginKind.WORKERS, 'memory')
class MemoryWorker(WorkerService):
    """Runs tasks by waiting; they lapse with their leases."""

    def __init__(self, entry: HostEntry, timeout: float = 0, clock: Clock | None = None) -> None:
        """Stand for the worker ``entry``; nobody waits for ``timeout`` here."""
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

    def watch(self, watcher: TaskWatcher) -> None:
        """Tell ``watcher`` of every start and every end."""
        self._watchers.append(watcher)

    async def start(
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
        lease_until = self._clock.monotonic() + order.lease_ms / MILLISECONDS
        task = MemoryTask(task_id, order, lease_until, order.owner)
        self._task_by_id[task_id] = task
        await self._publish_change(task)
        await curio.spawn(self._run, task, daemon=True)

    async def tasks(self, after: int, wait: float) -> TaskList:
        """Return the list, waiting up to ``wait`` seconds for a change."""
        if wait and after == self._revision:
            await self._changed.wait(self._changed.count, wait)
        history_ms = int((self._clock.monotonic() - self._started_at) * MILLISECONDS)
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

    async def renew(self, renewal: LeaseRenewal) -> None:
        """Renew leases; it starts nothing."""
        for task_id in renewal.task_ids:
            task = self._task_by_id.get(task_id)
            if task is not None and task.state == RUNNING:
                lease = renewal.lease_ms / MILLISECONDS
                task.lease_until = self._clock.monotonic() + lease
                task.renewed_by = renewal.holder

    async def act(self, task_id: str, action: str) -> None:
        """Stop, checkpoint or throttle a task; raises ``WorkerError``.

        A stop is kept even for a task that is not known: its start may still
        be on the way, and must then be refused.
        """
        task = self._task_by_id.get(task_id)
        if action == 'stop':
            self._tombstones.add(task_id)
            if task is not None:
                await self._end(task, STOPPED)
            return
        if task is None:
            raise WorkerError(f'no task {task_id}', Verdict.NOT_RUN)
        if action == 'throttle':
            task.throttled = True

    async def close(self) -> None:
        """Keep everything: there is no connection."""

    async def _run(self, task: MemoryTask) -> None:
        duration = POLL_SECONDS / 4 if self.fails_all else task.seconds
        outcome = FAILED if self.fails_all or task.command_name == 'fail' else SUCCEEDED
        end_at = self._clock.monotonic() + duration
        while task.state == RUNNING:
            now = self._clock.monotonic()
            if task.lease_until < now:
                await self._end(task, LAPSED)
            elif now >= end_at:
                await self._end(task, outcome)
            else:
                pause = min(POLL_SECONDS, end_at - now)
                await curio.ignore_after(pause, task.ended.wait)

    async def _end(self, task: MemoryTask, outcome: str) -> None:
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
    """Return what a task uses, as its worker measures it."""
    if task.state != RUNNING:
        return NOTHING
    demand = task.order.demand
    within_demand = task.command_name == 'grow' and task.throttled
    if task.command_name not in OVERUSING_COMMANDS or within_demand:
        return demand
    return Resources(demand.processors, demand.memory_mb * 2, demand.accelerators)
