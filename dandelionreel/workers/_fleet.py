"""All workers of the zone: agents, reports to the dispatcher, orders from it."""

from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass

import curio

from dandelionreel.backing import HostEntry, HostWatch, StreamReader
from dandelionreel.kernel import (
    Clock,
    Journal,
    PluginKind,
    Settings,
    plugins,
    start_task,
)
from dandelionreel.ownership import (
    DISPATCH_SHARD,
    NO_GRANT,
    WORKER_PREFIX,
    Authority,
    Grant,
    GrantLevel,
    PeerMonitor,
    ShardProjection,
    ShardUser,
    worker_shard,
)
from dandelionreel.peers import (
    Done,
    EchoBook,
    Frame,
    Message,
    PeerDirectory,
    PeerError,
    PlaceAnswer,
    PlaceOrder,
    Refused,
    TaskAction,
    WorkerReport,
)
from dandelionreel.workers._agent import REFUSED, WorkerAgent

ROUND_SECONDS = 0.25
#: A worker without news is looked at this often.
LOOK_SECONDS = 5.0
REPORT_TIMEOUT = 2.0
#: Without news a worker's state is reported again this often.
REFRESH_SECONDS = 30.0
#: A worker that is gone from the list is forgotten after this many leases.
FORGET_LEASES = 3

ReportTaker = Callable[[WorkerReport], Awaitable[None]]


class WorkerFleet(ShardUser):
    """Agents by worker; every daemon has all of its zone, and acts on those it owns."""

    def __init__(
        self,
        me: str,
        settings: Settings,
        clock: Clock,
        hosts: HostWatch,
        authority: Authority,
        shards: ShardProjection,
        reader: StreamReader,
        peer_monitor: PeerMonitor,
        directory: PeerDirectory,
        echoes: EchoBook,
        journal: Journal,
    ) -> None:
        """Act as ``me``."""
        self._me = me
        self._settings = settings
        self._clock = clock
        self._hosts = hosts
        self._authority = authority
        self._shards = shards
        self._reader = reader
        self._peer_monitor = peer_monitor
        self._directory = directory
        self._echoes = echoes
        self._journal = journal
        self._stacks: dict[str, AsyncExitStack] = {}
        self._take_report: ReportTaker | None = None
        self.agent_by_worker: dict[str, WorkerAgent] = {}

    def deliver_to(self, taker: ReportTaker) -> None:
        """Hand reports to this daemon's own dispatcher while it is the one."""
        self._take_report = taker

    def wanted_shards(self) -> Iterable[str]:
        """Return one shard for each worker of the zone."""
        for entry in self._entries():
            yield worker_shard(entry.name)

    async def prepare_release(self, shard: str) -> bool:
        """Return whether no start is under way or in doubt on a worker's shard."""
        if not shard.startswith(WORKER_PREFIX):
            return True
        agent = self.agent_by_worker.get(shard.removeprefix(WORKER_PREFIX))
        return agent is None or agent.ledger.is_settled()

    async def run(self, stack: AsyncExitStack) -> None:
        """Follow the host list, for ever."""
        stack.push_async_callback(self._close_all)
        while True:
            await self._refresh()
            for agent in tuple(self.agent_by_worker.values()):
                await agent.note_grant()
            await self._hosts.changed.wait(self._hosts.changed.count, ROUND_SECONDS)

    async def place(self, order: PlaceOrder) -> PlaceAnswer:
        """Start a task on an owned worker."""
        if order.dispatch_epoch < self._shards.epoch(DISPATCH_SHARD):
            return PlaceAnswer(REFUSED, 'another dispatcher has taken over')
        agent = self.agent_by_worker.get(order.worker)
        if agent is None:
            return PlaceAnswer(REFUSED, 'no such worker')
        return await agent.start(order)

    async def act(self, action: TaskAction) -> bool:
        """Stop, checkpoint or throttle a task on an owned worker."""
        if action.dispatch_epoch < self._shards.epoch(DISPATCH_SHARD):
            return False
        agent = self.agent_by_worker.get(action.worker)
        if agent is None or agent.grant().level is GrantLevel.NONE:
            return False
        return await agent.act(action.task_id, action.action)

    async def answer_place(self, frame: Frame) -> Message:
        """Start a task for the dispatcher, unless its order is too old.

        The order may have waited in a paused process or in a socket while
        another dispatcher took over; its age is bounded by our own clock.
        """
        order = frame.message
        if not isinstance(order, PlaceOrder):
            return Refused('not an order')
        age = self._clock.monotonic() - frame.echo
        if age > self._settings.timings.start_deadline + self._settings.timings.heartbeat * 2:
            return PlaceAnswer(REFUSED, 'the order is too old')
        return await self.place(order)

    async def answer_action(self, frame: Frame) -> Message:
        """Act on a task for the dispatcher."""
        action = frame.message
        if not isinstance(action, TaskAction):
            return Refused('not an action')
        return Done() if await self.act(action) else Refused('not done')

    def _entries(self) -> tuple[HostEntry, ...]:
        return self._hosts.of_kind('worker', self._settings.availability_zone)

    async def _refresh(self) -> None:
        for entry in self._entries():
            if entry.name not in self.agent_by_worker:
                await self._add(entry)
        for name in tuple(self.agent_by_worker):
            limit = self._settings.timings.lease * FORGET_LEASES
            if self._hosts.gone_for(name) > limit:
                await self._remove(name)

    async def _add(self, entry: HostEntry) -> None:
        service = plugins.create(
            PluginKind.WORKERS,
            self._settings.platform.workers_plugin,
            entry,
            self._settings.timings.start_deadline,
        )
        agent = WorkerAgent(
            self._me,
            entry,
            service,
            self._authority,
            self._settings,
            self._clock,
            self._journal,
        )
        self.agent_by_worker[entry.name] = agent
        stack = AsyncExitStack()
        self._stacks[entry.name] = stack
        stack.push_async_callback(agent.close)
        await start_task(stack, agent.run)
        await start_task(stack, agent.run_renewals)
        await start_task(stack, self._report, agent)
        await start_task(stack, self._renew_for_others, agent)

    async def _remove(self, name: str) -> None:
        self.agent_by_worker.pop(name)
        await self._stacks.pop(name).aclose()

    async def _close_all(self) -> None:
        for name in tuple(self.agent_by_worker):
            await self._remove(name)

    async def _report(self, agent: WorkerAgent) -> None:
        """Tell the zone's dispatcher what the worker runs, after every change."""
        told = _Told()
        while True:
            due = self._due_report(agent)
            if not due.dispatcher:
                await agent.changed.wait(agent.changed.count, LOOK_SECONDS)
                continue
            is_late = self._clock.monotonic() - told.at > REFRESH_SECONDS
            if due == told.report and not is_late:
                await agent.changed.wait(due.changes, LOOK_SECONDS)
                continue
            if await self._tell(agent, due):
                told = _Told(due, self._clock.monotonic())
                continue
            await curio.sleep(ROUND_SECONDS)

    def _due_report(self, agent: WorkerAgent) -> '_DueReport':
        """Return what a report made now would be for; no dispatcher, no report."""
        claim = self._shards.get(DISPATCH_SHARD)
        grant = agent.grant()
        if claim is None or grant.level is GrantLevel.NONE:
            return _DueReport()
        return _DueReport(claim.owner, claim.epoch, grant, agent.changed.count)

    async def _tell(self, agent: WorkerAgent, due: '_DueReport') -> bool:
        silent = self._unrenewed_for(agent)
        dispatcher = due.dispatcher
        if dispatcher == self._me:
            if self._take_report is not None:
                await self._take_report(agent.report(silent, self._clock.monotonic(), due.epoch))
            return True
        report = agent.report(silent, self._echoes.last(dispatcher), due.epoch)
        try:
            frame = await self._directory.ask(dispatcher, report, REPORT_TIMEOUT)
        except PeerError:
            return False
        return isinstance(frame.message, Done)

    def _unrenewed_for(self, agent: WorkerAgent) -> float:
        """Return for how long nobody can have renewed the worker's leases.

        A neighbour renews only for an owner that it does not hear; so the
        time counts from when all neighbours last began to hear us, and from
        when we became the owner: the former one may have renewed until then,
        and a worker that we have not asked yet is not a silent one.
        """
        heard_since = self._peer_monitor.all_heard_since()
        since = max(agent.reached_at, heard_since, agent.grant().since)
        return max(0.0, self._clock.monotonic() - since)

    async def _renew_for_others(self, agent: WorkerAgent) -> None:
        while True:
            await curio.sleep(self._settings.timings.lease / 4)
            claim = self._shards.get(agent.shard)
            if claim is None or claim.owner == self._me:
                continue
            log_is_out = self._reader.outage_since is not None
            if log_is_out and self._peer_monitor.is_silent(claim.owner):
                await agent.renew_for_silent_owner()


@dataclass(frozen=True)
class _DueReport:
    """Whom to tell, under which epochs, and after how many changes of the worker."""

    dispatcher: str = ''
    epoch: int = 0
    grant: Grant = NO_GRANT
    changes: int = -1


@dataclass(frozen=True)
class _Told:
    """The last report that its receiver has taken, and when."""

    report: _DueReport = _DueReport()
    at: float = float('-inf')
