"""One task per worker: watches it, starts and stops on it, keeps its leases."""

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
from dandelionreel.kernel import Clock, Journal, Part, Settings, Signal, Verdict
from dandelionreel.ownership import NO_GRANT, Authority, Grant, GrantLevel, worker_shard
from dandelionreel.peers import PlaceAnswer, PlaceOrder, TaskReport, WorkerReport
from dandelionreel.workers._ledger import HoldState, Ledger

STARTED = 'started'
REFUSED = 'refused'
UNKNOWN = 'unknown'
#: A watch waits this part of a lease at the worker for news.
WATCH_PART = 2 / 3
UNSETTLED_WATCH_SECONDS = 1.0
RETRY_SECONDS = 0.5
#: Without ownership the agent waits to be told of a new grant.
IDLE_SECONDS = 10.0
MILLISECONDS = 1000
#: Renewed this many times within a lease.
RENEWALS = 3
#: A task that uses more than this times its declaration is held back.
OUTGROWN = 1.1
THROTTLE = 'throttle'
CHECKPOINT = 'checkpoint'
STOP = 'stop'

ReportSender = Callable[['WorkerAgent'], Awaitable[None]]


@dataclass
class _Reached:
    """When the worker last answered, on this daemon's clock."""

    at: float
    reachable: bool = True


class WorkerAgent:
    """This daemon's part for one worker; only its owner starts anything."""

    def __init__(
        self,
        me: str,
        entry: HostEntry,
        service: WorkerService,
        authority: Authority,
        settings: Settings,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Act as ``me`` on the worker that ``entry`` names."""
        self._me = me
        self.entry = entry
        self._service = service
        self._authority = authority
        self._settings = settings
        self._clock = clock
        self._journal = journal
        self._reached = _Reached(clock.monotonic())
        self._listing: TaskList | None = None
        self._outgrown_by_task: dict[str, str] = {}
        self._seen_grant = NO_GRANT
        self.ledger = Ledger(entry.capacity)
        self.shard = worker_shard(entry.name)
        self.changed = Signal()
        self.starts = 0

    def grant(self) -> Grant:
        """Return what this daemon may do on the worker now."""
        return self._authority.grant(self.shard)

    async def run(self) -> None:
        """Watch the worker while this daemon owns it, for ever."""
        revision = -1
        while True:
            seen = self.changed.count
            if self.grant().level is GrantLevel.NONE:
                revision = -1
                self._listing = None
                await self.changed.wait(seen, IDLE_SECONDS)
                continue
            revision = await self._watch(revision)

    async def run_renewals(self) -> None:
        """Renew the leases of all that runs while this daemon owns the worker."""
        while True:
            await curio.sleep(self._settings.timings.lease / RENEWALS)
            if self.grant().level is GrantLevel.NONE:
                continue
            await self.renew([hold.task_id for hold in self.ledger.holds()])

    async def renew(self, task_ids: list[str]) -> None:
        """Renew some leases; a failure shows as a worker that cannot be reached."""
        if not task_ids:
            return
        lease_ms = int(self._settings.timings.lease * MILLISECONDS)
        try:
            await self._service.renew(LeaseRenewal(self._me, lease_ms, tuple(task_ids)))
        except WorkerError:
            return

    async def renew_for_silent_owner(self) -> None:
        """Renew all that runs there although another daemon owns the worker.

        Renewing starts nothing, so it needs no authority; without it the
        tasks of an owner that died in a log outage would lapse.
        """
        try:
            listing = await self._service.tasks(-1, 0)
        except WorkerError:
            return
        await self.renew([status.id for status in listing.tasks if status.is_running])

    async def start(self, order: PlaceOrder) -> PlaceAnswer:
        """Start a task if the ledger and the authority allow it."""
        now = self._clock.monotonic()
        known = self.ledger.get(order.task_id)
        if known is not None and known.state is HoldState.RUNNING:
            return PlaceAnswer(STARTED, 'it runs already')
        if known is not None:
            return PlaceAnswer(UNKNOWN, 'its start is under way or in doubt')
        grant = self.grant()
        cause = self.ledger.refusal(order.demand, grant)
        if cause:
            return PlaceAnswer(REFUSED, cause)
        self.ledger.hold(order.task_id, order.demand, grant, now)
        try:
            return await self._send_start(order, grant)
        except BaseException:
            # Cancelled between the hold and the answer: nobody knows.
            self.ledger.change(order.task_id, HoldState.DOUBTFUL, now)
            raise

    async def act(self, task_id: str, action: str) -> bool:
        """Stop, checkpoint or throttle a task; False when the worker did not answer."""
        try:
            await self._service.act(task_id, action)
        except WorkerError:
            return False
        return True

    def report(self, silent: float, as_of: float, dispatch_epoch: int) -> WorkerReport:
        """Return what is known of the worker now."""
        grant = self.grant()
        listing = self._listing
        statuses = listing.tasks if listing else ()
        reports = [self._task_report(status) for status in statuses]
        listed = {status.id for status in statuses}
        reports.extend(
            _held_report(hold.task_id, hold.demand)
            for hold in self.ledger.holds()
            if hold.task_id not in listed
        )
        return WorkerReport(
            self.entry.name,
            grant.epoch,
            self._reached.reachable and listing is not None,
            self.ledger.room(grant),
            tuple(reports),
            silent,
            self._remembers(),
            as_of,
            dispatch_epoch,
        )

    async def note_grant(self) -> None:
        """Wake what waits for news when the grant has changed."""
        grant = self.grant()
        if grant != self._seen_grant:
            self._seen_grant = grant
            await self.changed.notify()

    @property
    def reached_at(self) -> float:
        """Return when the worker last answered."""
        return self._reached.at

    async def close(self) -> None:
        """Give up connections."""
        await self._service.close()

    def _remembers(self) -> float:
        """Return how far back from now the newest listing knows every start.

        It was made some time ago, at the end of a long watch perhaps, and
        reaches back from there.
        """
        if self._listing is None:
            return 0
        since_listed = max(0.0, self._clock.monotonic() - self.ledger.listed_at)
        return self._listing.remembers_ms / MILLISECONDS + since_listed

    async def _watch(self, revision: int) -> int:
        asked_at = self._clock.monotonic()
        stale = self.ledger.listed_at < self.grant().since
        wait = 0.0 if revision < 0 or stale else self._watch_seconds()
        try:
            listing = await self._service.tasks(revision if wait else -1, wait)
        except WorkerError as error:
            await self._note_unreachable(error)
            return -1
        if listing.unchanged and self._has_restarted(listing):
            self._journal.tell(
                Part.WORKERS,
                f'{self.entry.name} has restarted.',
                worker=self.entry.name,
                revision=revision,
                remembers_ms=listing.remembers_ms,
            )
            return -1
        # A listing that waited tells the state at its end, but one that was
        # asked before a start must not release it.
        self._reached = _Reached(self._clock.monotonic())
        listing = self._complete(listing)
        self.ledger.note_listing(listing, asked_at)
        news = self._listing is None or listing.revision != self._listing.revision
        self._listing = listing
        await self._check_use(listing)
        await self._resolve_doubtful()
        if news:
            await self.changed.notify()
        return listing.revision

    def _has_restarted(self, listing: TaskList) -> bool:
        """Return whether a worker's memory does not reach back to the list before this one.

        A worker that has restarted counts its revisions anew, and may reach the one known.
        """
        since_listed = self._clock.monotonic() - self.ledger.listed_at
        return listing.remembers_ms / MILLISECONDS < since_listed

    def _complete(self, listing: TaskList) -> TaskList:
        """Return an unchanged list with the tasks that are known of its revision."""
        known = self._listing
        if not listing.unchanged or known is None:
            return listing
        return TaskList(known.revision, known.tasks, listing.remembers_ms)

    def _watch_seconds(self) -> float:
        # Once the former owner is settled the worker must be listed again
        # before its other half may be filled; a long wait would delay that.
        if self.grant().level is GrantLevel.OTHER_HALF:
            return UNSETTLED_WATCH_SECONDS
        return self._settings.timings.lease * WATCH_PART

    async def _note_unreachable(self, error: WorkerError) -> None:
        if self._reached.reachable:
            self._journal.tell(
                Part.WORKERS,
                f'cannot reach {self.entry.name}; {error}.',
                worker=self.entry.name,
            )
        self._reached = _Reached(self._reached.at, reachable=False)
        await self.changed.notify()
        await curio.sleep(RETRY_SECONDS)

    async def _send_start(self, order: PlaceOrder, grant: Grant) -> PlaceAnswer:
        told = TaskOrder(
            order.demand,
            order.command,
            int(self._settings.timings.lease * MILLISECONDS),
            self._me,
            grant.epoch,
            order.customer,
            order.job,
            order.attempt,
            order.task_class,
        )
        timeout = self._settings.timings.start_deadline
        try:
            await self._service.start(
                order.task_id,
                told,
                timeout,
                lambda: self._still_allowed(grant),
            )
        except WorkerError as error:
            return await self._note_failed_start(order, error)
        self.starts += 1
        self.ledger.change(order.task_id, HoldState.RUNNING, self._clock.monotonic())
        return PlaceAnswer(STARTED)

    def _still_allowed(self, grant: Grant) -> bool:
        """Return whether the counted start may leave: asked right before it does."""
        current = self.grant()
        if current.level is GrantLevel.NONE or current.epoch != grant.epoch:
            return False
        return self.ledger.total().fits(self.ledger.room(current))

    async def _note_failed_start(self, order: PlaceOrder, error: WorkerError) -> PlaceAnswer:
        if error.verdict is Verdict.NOT_RUN:
            self.ledger.release(order.task_id)
            return PlaceAnswer(REFUSED, f'{error}')
        self.ledger.change(order.task_id, HoldState.DOUBTFUL, self._clock.monotonic())
        self._journal.tell(
            Part.WORKERS,
            f'does not know whether {order.task_id} started on {self.entry.name}; {error}.',
            task=order.task_id,
            worker=self.entry.name,
        )
        return PlaceAnswer(UNKNOWN, f'{error}')

    async def _resolve_doubtful(self) -> None:
        """Stop what may or may not have started.

        The stop is kept by the worker: should the lost start still arrive, it
        is refused. Only then is the room free again.
        """
        for hold in self.ledger.holds():
            if hold.state is not HoldState.DOUBTFUL:
                continue
            if await self.act(hold.task_id, STOP):
                self.ledger.release(hold.task_id)
                await self.changed.notify()

    async def _check_use(self, listing: TaskList) -> None:
        """Hold back a task that has outgrown its declaration: throttle, then stop."""
        running = {status.id for status in listing.tasks if status.is_running}
        for task_id in tuple(self._outgrown_by_task):
            if task_id not in running:
                self._outgrown_by_task.pop(task_id)
        for status in listing.tasks:
            if not status.is_running or not _has_outgrown(status):
                continue
            await self._hold_back(status)

    async def _hold_back(self, status: TaskStatus) -> None:
        last = self._outgrown_by_task.get(status.id, '')
        action = {'': THROTTLE, THROTTLE: CHECKPOINT, CHECKPOINT: STOP}.get(last)
        if action is None:
            return
        self._journal.tell(
            Part.WORKERS,
            f'tells {self.entry.name} to {action} {status.id}; it uses more than it declared.',
            task=status.id,
        )
        if await self.act(status.id, action):
            self._outgrown_by_task[status.id] = action

    def _task_report(self, status: TaskStatus) -> TaskReport:
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


def _held_report(task_id: str, demand: Resources) -> TaskReport:
    """Return the report of a start that is under way or in doubt."""
    job, attempt, _ = task_id.rsplit('.', 2)
    return TaskReport(task_id, job, int(attempt), '', '', True, '', demand)


def _has_outgrown(status: TaskStatus) -> bool:
    limit = status.order.demand.times(OUTGROWN)
    return bool(limit.memory_mb) and status.used.memory_mb > limit.memory_mb
