"""The agent of one worker: watches the worker, starts and stops tasks, renews leases."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from dandelionreel.backing import (
    HostEntry,
    LeaseRenewal,
    Resources,
    TaskList,
    TaskOrder,
    TaskStatus,
    WorkerError,
    WorkerService,
)
from dandelionreel.kernel import ChangeNotifier, Clock, Journal, Part, Settings, Verdict
from dandelionreel.ownership import NO_GRANT, Authority, Grant, GrantLevel, worker_shard
from dandelionreel.peers import PlaceAnswer, PlaceOrder, TaskReport, WorkerReport
from dandelionreel.workers._ledger import AllocationState, Ledger

STARTED = 'started'
REFUSED = 'refused'
UNKNOWN = 'unknown'
#: Length of a long poll for task changes, as a fraction of a lease.
WATCH_LEASE_FRACTION = 2 / 3
#: Length of a long poll while a former owner may still be acting on the worker.
UNSETTLED_WATCH_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.5
#: While this daemon does not own the worker, the agent checks its grant this often, and
#: whenever the grant changes.
IDLE_WAIT_SECONDS = 10.0
MILLISECONDS_PER_SECOND = 1000
#: Renewals within one lease period.
RENEWALS_PER_LEASE = 3
#: A task that uses more than this multiple of its declared memory is throttled, then
#: checkpointed, then stopped.
OVERUSE_FACTOR = 1.1
THROTTLE = 'throttle'
CHECKPOINT = 'checkpoint'
STOP = 'stop'

ReportSender = Callable[['WorkerAgent'], Awaitable[None]]


@dataclass
class _LastContact:
    """When the worker last answered, on this daemon's monotonic clock."""

    answered_at: float
    reachable: bool = True


class WorkerAgent:
    """Manages one worker for this daemon; only the owner of the worker starts tasks."""

    def __init__(
        self,
        own_member: str,
        entry: HostEntry,
        service: WorkerService,
        authority: Authority,
        settings: Settings,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Act as the member ``own_member`` on the worker of the host list entry ``entry``."""
        self._own_member = own_member
        self.entry = entry
        self._service = service
        self._authority = authority
        self._settings = settings
        self._clock = clock
        self._journal = journal
        self._last_contact = _LastContact(clock.monotonic())
        self._task_list: TaskList | None = None
        self._last_action_by_task: dict[str, str] = {}
        self._last_grant = NO_GRANT
        self.ledger = Ledger(entry.capacity)
        self.shard = worker_shard(entry.name)
        self.changed = ChangeNotifier()
        self.start_count = 0

    def current_grant(self) -> Grant:
        """Return this daemon's current grant for the worker."""
        return self._authority.current_grant(self.shard)

    async def run(self) -> None:
        """Watch the worker whenever this daemon owns it, until cancelled."""
        last_revision = -1
        while True:
            seen = self.changed.count
            if self.current_grant().level is GrantLevel.NONE:
                last_revision = -1
                self._task_list = None
                await self.changed.wait(seen, IDLE_WAIT_SECONDS)
                continue
            last_revision = await self._watch_tasks(last_revision)

    async def run_lease_renewals(self) -> None:
        """Renew the leases of all allocated tasks while this daemon owns the worker."""
        while True:
            await curio.sleep(self._settings.timings.lease / RENEWALS_PER_LEASE)
            if self.current_grant().level is GrantLevel.NONE:
                continue
            await self.renew_leases(
                [allocation.task_id for allocation in self.ledger.allocations()]
            )

    async def renew_leases(self, task_ids: list[str]) -> None:
        """Renew leases; errors are ignored, since the long poll notices an unreachable worker."""
        if not task_ids:
            return
        lease_ms = int(self._settings.timings.lease * MILLISECONDS_PER_SECOND)
        try:
            await self._service.renew_leases(
                LeaseRenewal(self._own_member, lease_ms, tuple(task_ids))
            )
        except WorkerError:
            return

    async def renew_for_silent_owner(self) -> None:
        """Renew the leases of all running tasks although another daemon owns the worker.

        A renewal starts nothing, so it needs no authority. If nobody renewed them,
        the leases of an owner that died while the log was unavailable would expire.
        """
        try:
            task_list = await self._service.list_tasks(-1, 0)
        except WorkerError:
            return
        await self.renew_leases([status.id for status in task_list.tasks if status.is_running])

    async def start_task(self, order: PlaceOrder) -> PlaceAnswer:
        """Start a task if the ledger and the grant allow it."""
        now = self._clock.monotonic()
        allocation = self.ledger.get(order.task_id)
        if allocation is not None and allocation.state is AllocationState.RUNNING:
            return PlaceAnswer(STARTED, 'it runs already')
        if allocation is not None:
            return PlaceAnswer(UNKNOWN, 'its start is under way or in doubt')
        grant = self.current_grant()
        cause = self.ledger.refusal_reason(order.demand, grant)
        if cause:
            return PlaceAnswer(REFUSED, cause)
        self.ledger.add_start(order.task_id, order.demand, grant, now)
        try:
            return await self._send_start_request(order, grant)
        except BaseException:
            # The call was cancelled before the worker answered, so whether the task
            # started is unknown.
            self.ledger.set_state(order.task_id, AllocationState.DOUBTFUL, now)
            raise

    async def apply_task_action(self, task_id: str, action: str) -> bool:
        """Stop, checkpoint or throttle a task; return whether the worker confirmed it."""
        try:
            await self._service.apply_action(task_id, action)
        except WorkerError:
            return False
        return True

    def make_worker_report(
        self, unrenewed_seconds: float, as_of: float, dispatch_epoch: int
    ) -> WorkerReport:
        """Return a report of the worker's current state."""
        grant = self.current_grant()
        task_list = self._task_list
        statuses = task_list.tasks if task_list else ()
        reports = [self._make_task_report(status) for status in statuses]
        listed_ids = {status.id for status in statuses}
        reports.extend(
            _make_pending_start_report(allocation.task_id, allocation.demand)
            for allocation in self.ledger.allocations()
            if allocation.task_id not in listed_ids
        )
        return WorkerReport(
            self.entry.name,
            grant.epoch,
            self._last_contact.reachable and task_list is not None,
            self.ledger.usable_capacity(grant),
            tuple(reports),
            unrenewed_seconds,
            self._start_history_seconds(),
            as_of,
            dispatch_epoch,
        )

    async def notify_grant_change(self) -> None:
        """Notify the waiting tasks of this agent if the grant has changed."""
        grant = self.current_grant()
        if grant != self._last_grant:
            self._last_grant = grant
            await self.changed.notify()

    @property
    def last_answered_at(self) -> float:
        """Return when the worker last answered."""
        return self._last_contact.answered_at

    async def close(self) -> None:
        """Close the connections to the worker."""
        await self._service.close()

    def _start_history_seconds(self) -> float:
        """Return for how many seconds back from now the task list has every start.

        That is the worker's history plus the age of the list, which is counted from
        its request: the last long poll may have taken most of a lease.
        """
        if self._task_list is None:
            return 0
        list_age = max(0.0, self._clock.monotonic() - self.ledger.listed_at)
        return self._task_list.remembers_ms / MILLISECONDS_PER_SECOND + list_age

    async def _watch_tasks(self, last_revision: int) -> int:
        requested_at = self._clock.monotonic()
        list_is_stale = self.ledger.listed_at < self.current_grant().since
        wait = 0.0 if last_revision < 0 or list_is_stale else self._long_poll_seconds()
        try:
            task_list = await self._service.list_tasks(last_revision if wait else -1, wait)
        except WorkerError as error:
            await self._handle_unreachable_worker(error)
            return -1
        if task_list.unchanged and self._has_worker_restarted(task_list):
            self._journal.log(
                Part.WORKERS,
                f'{self.entry.name} has restarted.',
                worker=self.entry.name,
                revision=last_revision,
                remembers_ms=task_list.remembers_ms,
            )
            return -1
        # A long poll returns the task list at its end. The list still counts as of
        # its request, so that it cannot release the allocation of a start made since.
        self._last_contact = _LastContact(self._clock.monotonic())
        task_list = self._fill_unchanged_list(task_list)
        self.ledger.apply_task_list(task_list, requested_at)
        list_changed = self._task_list is None or task_list.revision != self._task_list.revision
        self._task_list = task_list
        await self._enforce_declared_memory(task_list)
        await self._stop_unresolved_starts()
        if list_changed:
            await self.changed.notify()
        return task_list.revision

    def _has_worker_restarted(self, task_list: TaskList) -> bool:
        """Return whether the worker's history does not reach back to the previous list.

        The worker has then restarted. It counts revisions from the beginning again,
        so the same revision as before may stand for other tasks.
        """
        list_age = self._clock.monotonic() - self.ledger.listed_at
        return task_list.remembers_ms / MILLISECONDS_PER_SECOND < list_age

    def _fill_unchanged_list(self, task_list: TaskList) -> TaskList:
        """Return the task list, filled with the last known tasks if it is unchanged."""
        known = self._task_list
        if not task_list.unchanged or known is None:
            return task_list
        return TaskList(known.revision, known.tasks, task_list.remembers_ms)

    def _long_poll_seconds(self) -> float:
        # Once the former owner has ended or yielded, the worker's tasks must be listed
        # again before its other half may be used; a long poll would delay that.
        if self.current_grant().level is GrantLevel.OTHER_HALF:
            return UNSETTLED_WATCH_SECONDS
        return self._settings.timings.lease * WATCH_LEASE_FRACTION

    async def _handle_unreachable_worker(self, error: WorkerError) -> None:
        if self._last_contact.reachable:
            self._journal.log(
                Part.WORKERS,
                f'cannot reach {self.entry.name}; {error}.',
                worker=self.entry.name,
            )
        self._last_contact = _LastContact(self._last_contact.answered_at, reachable=False)
        await self.changed.notify()
        await curio.sleep(RETRY_DELAY_SECONDS)

    async def _send_start_request(self, order: PlaceOrder, grant: Grant) -> PlaceAnswer:
        task_order = TaskOrder(
            order.demand,
            order.command,
            int(self._settings.timings.lease * MILLISECONDS_PER_SECOND),
            self._own_member,
            grant.epoch,
            order.customer,
            order.job,
            order.attempt,
            order.task_class,
        )
        timeout = self._settings.timings.start_deadline
        try:
            await self._service.start_task(
                order.task_id,
                task_order,
                timeout,
                lambda: self._may_send_start(grant),
            )
        except WorkerError as error:
            return await self._handle_failed_start(order, error)
        self.start_count += 1
        self.ledger.set_state(order.task_id, AllocationState.RUNNING, self._clock.monotonic())
        return PlaceAnswer(STARTED)

    def _may_send_start(self, grant: Grant) -> bool:
        """Return whether a start that the ledger already counts may be sent now."""
        current = self.current_grant()
        if current.level is GrantLevel.NONE or current.epoch != grant.epoch:
            return False
        return self.ledger.total_demand().fits(self.ledger.usable_capacity(current))

    async def _handle_failed_start(self, order: PlaceOrder, error: WorkerError) -> PlaceAnswer:
        if error.verdict is Verdict.NOT_RUN:
            self.ledger.release(order.task_id)
            return PlaceAnswer(REFUSED, f'{error}')
        self.ledger.set_state(order.task_id, AllocationState.DOUBTFUL, self._clock.monotonic())
        self._journal.log(
            Part.WORKERS,
            f'does not know whether {order.task_id} started on {self.entry.name}; {error}.',
            task=order.task_id,
            worker=self.entry.name,
        )
        return PlaceAnswer(UNKNOWN, f'{error}')

    async def _stop_unresolved_starts(self) -> None:
        """Stop the tasks whose start has an unknown outcome.

        A worker that has confirmed the stop refuses the start if it arrives later,
        so the allocation can be released then, and not before.
        """
        for allocation in self.ledger.allocations():
            if allocation.state is not AllocationState.DOUBTFUL:
                continue
            if await self.apply_task_action(allocation.task_id, STOP):
                self.ledger.release(allocation.task_id)
                await self.changed.notify()

    async def _enforce_declared_memory(self, task_list: TaskList) -> None:
        """Restrict tasks that exceed their declared memory: throttle, checkpoint, then stop."""
        running = {status.id for status in task_list.tasks if status.is_running}
        for task_id in tuple(self._last_action_by_task):
            if task_id not in running:
                self._last_action_by_task.pop(task_id)
        for status in task_list.tasks:
            if not status.is_running or not _exceeds_declared_memory(status):
                continue
            await self._escalate_restriction(status)

    async def _escalate_restriction(self, status: TaskStatus) -> None:
        last_action = self._last_action_by_task.get(status.id, '')
        action = {'': THROTTLE, THROTTLE: CHECKPOINT, CHECKPOINT: STOP}.get(last_action)
        if action is None:
            return
        self._journal.log(
            Part.WORKERS,
            f'tells {self.entry.name} to {action} {status.id}; it uses more than it declared.',
            task=status.id,
        )
        if await self.apply_task_action(status.id, action):
            self._last_action_by_task[status.id] = action

    def _make_task_report(self, status: TaskStatus) -> TaskReport:
        order = status.order
        return TaskReport(
            status.id,
            order.job,
            order.attempt,
            order.customer,
            order.task_class,
            status.is_running,
            status.outcome,
            order.demand,
            status.used,
        )


def _make_pending_start_report(task_id: str, demand: Resources) -> TaskReport:
    """Return the report of a start that is pending or has an unknown outcome."""
    job, attempt, _ = task_id.rsplit('.', 2)
    return TaskReport(task_id, job, int(attempt), '', '', True, '', demand)


def _exceeds_declared_memory(status: TaskStatus) -> bool:
    limit = status.order.demand.times(OVERUSE_FACTOR)
    return bool(limit.memory_mb) and status.used.memory_mb > limit.memory_mb
