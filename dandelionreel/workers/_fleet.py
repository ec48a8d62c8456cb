"""All workers of the zone: their agents, their reports, and the dispatcher's orders."""

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
    Frame,
    Message,
    PeerClocks,
    PeerDirectory,
    PeerError,
    PlaceAnswer,
    PlaceOrder,
    Refused,
    TaskAction,
    WorkerReport,
)
from dandelionreel.workers._agent import REFUSED, WorkerAgent

POLL_SECONDS = 0.25
#: How often the agent of a worker without changes is checked for a report to send.
IDLE_CHECK_SECONDS = 5.0
REPORT_TIMEOUT_SECONDS = 2.0
#: A worker's unchanged state is reported again this often.
REPORT_REFRESH_SECONDS = 30.0
#: A worker that left the host list is removed after this many lease periods.
FORGET_AFTER_LEASES = 3

ReportHandler = Callable[[WorkerReport], Awaitable[None]]


class WorkerFleet(ShardUser):
    """The agents of all workers of the zone.

    Every daemon has an agent for each worker, but starts and stops tasks only on those
    that it owns.
    """

    def __init__(
        self,
        own_member: str,
        settings: Settings,
        clock: Clock,
        hosts: HostWatch,
        authority: Authority,
        shards: ShardProjection,
        reader: StreamReader,
        peer_monitor: PeerMonitor,
        directory: PeerDirectory,
        peer_clocks: PeerClocks,
        journal: Journal,
    ) -> None:
        """Act as the member ``own_member``."""
        self._own_member = own_member
        self._settings = settings
        self._clock = clock
        self._hosts = hosts
        self._authority = authority
        self._shards = shards
        self._reader = reader
        self._peer_monitor = peer_monitor
        self._directory = directory
        self._peer_clocks = peer_clocks
        self._journal = journal
        self._stack_by_worker: dict[str, AsyncExitStack] = {}
        self._report_handler: ReportHandler | None = None
        self.agent_by_worker: dict[str, WorkerAgent] = {}

    def register_report_handler(self, handler: ReportHandler) -> None:
        """Register the handler of reports for when this daemon is the dispatcher itself."""
        self._report_handler = handler

    def wanted_shards(self) -> Iterable[str]:
        """Return one shard for each worker of the zone."""
        for entry in self._worker_entries():
            yield worker_shard(entry.name)

    async def prepare_release(self, shard: str) -> bool:
        """Return whether no start is pending or unresolved on a worker's shard."""
        if not shard.startswith(WORKER_PREFIX):
            return True
        agent = self.agent_by_worker.get(shard.removeprefix(WORKER_PREFIX))
        return agent is None or agent.ledger.is_settled()

    async def run(self, stack: AsyncExitStack) -> None:
        """Follow the host list until cancelled."""
        stack.push_async_callback(self._close_all_agents)
        while True:
            await self._refresh_agents()
            for agent in tuple(self.agent_by_worker.values()):
                await agent.notify_grant_change()
            await self._hosts.changed.wait(self._hosts.changed.count, POLL_SECONDS)

    async def place_task(self, order: PlaceOrder) -> PlaceAnswer:
        """Start a task on an owned worker."""
        if order.dispatch_epoch < self._shards.epoch(DISPATCH_SHARD):
            return PlaceAnswer(REFUSED, 'another dispatcher has taken over')
        agent = self.agent_by_worker.get(order.worker)
        if agent is None:
            return PlaceAnswer(REFUSED, 'no such worker')
        return await agent.start_task(order)

    async def apply_task_action(self, action: TaskAction) -> bool:
        """Stop, checkpoint or throttle a task on an owned worker."""
        if action.dispatch_epoch < self._shards.epoch(DISPATCH_SHARD):
            return False
        agent = self.agent_by_worker.get(action.worker)
        if agent is None or agent.current_grant().level is GrantLevel.NONE:
            return False
        return await agent.apply_task_action(action.task_id, action.action)

    async def answer_place_order(self, frame: Frame) -> Message:
        """Start a task for the dispatcher, unless its order is too old.

        The order may have waited in a paused process or in a socket while another
        dispatcher took over. Its frame echoes the last reading of this daemon's clock
        that the sender had received; the time since then is an upper bound of its age.
        """
        order = frame.message
        if not isinstance(order, PlaceOrder):
            return Refused('not an order')
        age = self._clock.monotonic() - frame.echo
        if age > self._settings.timings.start_deadline + self._settings.timings.heartbeat * 2:
            return PlaceAnswer(REFUSED, 'the order is too old')
        return await self.place_task(order)

    async def answer_task_action(self, frame: Frame) -> Message:
        """Carry out the dispatcher's action on a task."""
        action = frame.message
        if not isinstance(action, TaskAction):
            return Refused('not an action')
        return Done() if await self.apply_task_action(action) else Refused('not done')

    def _worker_entries(self) -> tuple[HostEntry, ...]:
        return self._hosts.zone_hosts_of_kind('worker', self._settings.availability_zone)

    async def _refresh_agents(self) -> None:
        for entry in self._worker_entries():
            if entry.name not in self.agent_by_worker:
                await self._add_agent(entry)
        for name in tuple(self.agent_by_worker):
            limit = self._settings.timings.lease * FORGET_AFTER_LEASES
            if self._hosts.missing_seconds(name) > limit:
                await self._remove_agent(name)

    async def _add_agent(self, entry: HostEntry) -> None:
        service = plugins.create(
            PluginKind.WORKERS,
            self._settings.platform.workers_plugin,
            entry,
            self._settings.timings.start_deadline,
        )
        agent = WorkerAgent(
            self._own_member,
            entry,
            service,
            self._authority,
            self._settings,
            self._clock,
            self._journal,
        )
        self.agent_by_worker[entry.name] = agent
        stack = AsyncExitStack()
        self._stack_by_worker[entry.name] = stack
        stack.push_async_callback(agent.close)
        await start_task(stack, agent.run)
        await start_task(stack, agent.run_lease_renewals)
        await start_task(stack, self._send_reports, agent)
        await start_task(stack, self._renew_for_silent_owners, agent)

    async def _remove_agent(self, name: str) -> None:
        self.agent_by_worker.pop(name)
        await self._stack_by_worker.pop(name).aclose()

    async def _close_all_agents(self) -> None:
        for name in tuple(self.agent_by_worker):
            await self._remove_agent(name)

    async def _send_reports(self, agent: WorkerAgent) -> None:
        """Send a report to the zone's dispatcher after every change of the worker."""
        last_sent = _SentReport()
        while True:
            target = self._find_report_target(agent)
            if not target.dispatcher:
                await agent.changed.wait(agent.changed.count, IDLE_CHECK_SECONDS)
                continue
            refresh_due = self._clock.monotonic() - last_sent.sent_at > REPORT_REFRESH_SECONDS
            if target == last_sent.target and not refresh_due:
                await agent.changed.wait(target.change_count, IDLE_CHECK_SECONDS)
                continue
            if await self._send_report(agent, target):
                last_sent = _SentReport(target, self._clock.monotonic())
                continue
            await curio.sleep(POLL_SECONDS)

    def _find_report_target(self, agent: WorkerAgent) -> '_ReportTarget':
        """Return the target of a report made now; empty without a dispatcher or a grant."""
        claim = self._shards.get(DISPATCH_SHARD)
        grant = agent.current_grant()
        if claim is None or grant.level is GrantLevel.NONE:
            return _ReportTarget()
        return _ReportTarget(claim.owner, claim.epoch, grant, agent.changed.count)

    async def _send_report(self, agent: WorkerAgent, target: '_ReportTarget') -> bool:
        unrenewed_seconds = self._seconds_without_renewal(agent)
        dispatcher = target.dispatcher
        if dispatcher == self._own_member:
            if self._report_handler is not None:
                await self._report_handler(
                    agent.make_worker_report(
                        unrenewed_seconds, self._clock.monotonic(), target.epoch
                    )
                )
            return True
        report = agent.make_worker_report(
            unrenewed_seconds, self._peer_clocks.get_last_reading(dispatcher), target.epoch
        )
        try:
            frame = await self._directory.request(dispatcher, report, REPORT_TIMEOUT_SECONDS)
        except PeerError:
            return False
        return isinstance(frame.message, Done)

    def _seconds_without_renewal(self, agent: WorkerAgent) -> float:
        """Return for how many seconds nobody can have renewed the worker's leases.

        A peer renews leases only for an owner that it does not hear. So the time
        counts from when the last peer began to hear this daemon, and not from before
        this daemon became the owner: the former owner may have renewed the leases
        until then, and a worker that was not polled yet does not count as silent.
        """
        heard_since = self._peer_monitor.all_members_heard_since()
        since = max(agent.last_answered_at, heard_since, agent.current_grant().since)
        return max(0.0, self._clock.monotonic() - since)

    async def _renew_for_silent_owners(self, agent: WorkerAgent) -> None:
        while True:
            await curio.sleep(self._settings.timings.lease / 4)
            claim = self._shards.get(agent.shard)
            if claim is None or claim.owner == self._own_member:
                continue
            log_is_unavailable = self._reader.outage_since is not None
            if log_is_unavailable and self._peer_monitor.is_silent(claim.owner):
                await agent.renew_for_silent_owner()


@dataclass(frozen=True)
class _ReportTarget:
    """The dispatcher to send a report to, its epoch, and the state that the report would show."""

    dispatcher: str = ''
    epoch: int = 0
    grant: Grant = NO_GRANT
    change_count: int = -1


@dataclass(frozen=True)
class _SentReport:
    """The target of the last report that was accepted, and when it was sent."""

    target: _ReportTarget = _ReportTarget()
    sent_at: float = float('-inf')
