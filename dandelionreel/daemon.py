"""The daemon: builds all components, runs them, and shuts them down in order."""

import gc
import os
import signal
from contextlib import AsyncExitStack, suppress

import curio

from dandelionreel.admin import AdminApi
from dandelionreel.backing import HostWatch, LogError, StreamReader, StreamWriter
from dandelionreel.callers import CallerApi, ZoneRelay
from dandelionreel.client_refusals import RefusalReport
from dandelionreel.contracts import ContractProjection, ContractPublisher, ContractRecord
from dandelionreel.http import RequestBudget, Server, ServerLimits
from dandelionreel.jobs import (
    Dispatcher,
    JobApi,
    JobMetrics,
    JobMover,
    JobProjection,
    JobRecord,
    JobRefresher,
    OrderSender,
    QuotaShareBalancer,
)
from dandelionreel.kernel import (
    Environment,
    ExitStatus,
    Journal,
    Part,
    PluginKind,
    Settings,
    plugins,
    start_task,
    watch_signals,
    zones_of,
)
from dandelionreel.life import InFlightCounter, Lifecycle
from dandelionreel.metrics import DaemonMetrics
from dandelionreel.ownership import (
    DISPATCH_SHARD,
    Alive,
    Authority,
    Joined,
    Membership,
    MembershipRecord,
    PeerMonitor,
    PromiseTracker,
    ShardClaimer,
    ShardProjection,
    ShardRecord,
    ShardUser,
)
from dandelionreel.peers import (
    ContractsWanted,
    Done,
    Forward,
    Frame,
    Gossip,
    Heartbeat,
    Message,
    PeerClocks,
    PeerDirectory,
    PeerServer,
    PeerState,
    PlaceOrder,
    Refused,
    TaskAction,
    TrafficCounter,
    WorkerReport,
    hash_member,
)
from dandelionreel.routing import (
    IdempotencyGuard,
    KeyProjection,
    RequestRecord,
    Router,
    RoutingMetrics,
    RunnerPool,
)
from dandelionreel.workers import WorkerFleet

CELL_STREAM = 'cell'
ZONE_STREAM = 'zone.{0}'
JOIN_WRITE_SECONDS = 5.0
JOIN_RETRY_SECONDS = 1.0
#: How often per silence period the daemon checks whether to write a liveness record.
ALIVE_CHECKS_PER_PERIOD = 8
INCARNATION_BYTES = 3
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MILLISECONDS_PER_SECOND = 1000
MEGABYTE = 1_048_576

CellRecord = MembershipRecord | ContractRecord
ZoneRecord = MembershipRecord | ShardRecord | JobRecord | RequestRecord


class DispatchShardUser(ShardUser):
    """Requests the zone's dispatch shard, so that some daemon always owns it."""

    def wanted_shards(self) -> tuple[str, ...]:
        """Return the dispatch shard."""
        return (DISPATCH_SHARD,)

    async def prepare_release(self, shard: str) -> bool:
        """Return True: orders have epoch and age, so a release need not wait for pending orders."""
        return True


class Daemon:
    """One daemon; its components get each other only as constructor arguments."""

    def __init__(self, settings: Settings, environment: Environment) -> None:
        """Build all components; nothing runs or listens yet."""
        self._settings = settings
        self._clock = environment.clock
        self._journal = Journal(
            environment.stderr,
            settings.host,
            settings.logs.sample_every,
            frozenset(settings.logs.quiet_parts),
        )
        self.own_member = f'{settings.host}/{_make_incarnation(self._clock.unix_time())}'
        self._build_platform()
        self._build_ownership()
        self._build_contracts()
        self._build_request_routing()
        self._build_jobs()
        self._build_apis()

    async def run(self) -> ExitStatus:
        """Serve until a stop is requested; return the exit status."""
        self._journal.open()
        try:
            async with AsyncExitStack() as stack:
                await self._start_components(stack)
                await self._serve_until_stopped(stack)
        finally:
            self._journal.close()
        return ExitStatus.ERROR if self._was_declared_ended() else ExitStatus.SUCCESS

    # Building.

    def _build_platform(self) -> None:
        platform, timings = self._settings.platform, self._settings.timings
        self._log = plugins.create(
            PluginKind.LOG,
            platform.log_plugin,
            platform.log,
            timings.log_timeout,
        )
        host_list = plugins.create(
            PluginKind.HOSTS,
            platform.hosts_plugin,
            platform.hosts,
            timings.log_timeout,
            platform.static_hosts,
            self._settings.availability_zone,
        )
        self._host_list = host_list
        self._hosts = HostWatch(host_list, self._clock, self._journal)
        self._cell_reader = StreamReader(self._log, CELL_STREAM, self._clock, CellRecord)
        zone_stream = ZONE_STREAM.format(self._settings.availability_zone)
        self._zone_reader = StreamReader(self._log, zone_stream, self._clock, ZoneRecord)
        self._cell_writer = self._make_stream_writer(self._cell_reader)
        self._zone_writer = self._make_stream_writer(self._zone_reader)

    def _make_stream_writer(self, reader: StreamReader) -> StreamWriter:
        return StreamWriter(
            self._log,
            reader,
            self.own_member,
            self._clock,
            self._settings.limits.group_records,
        )

    def _build_ownership(self) -> None:
        settings, clock = self._settings, self._clock
        zone = settings.availability_zone
        self._traffic = TrafficCounter()
        self._peer_clocks = PeerClocks()
        self._directory = PeerDirectory(self.own_member, clock, self._peer_clocks, self._traffic)
        self._peer_server = PeerServer(
            self.own_member,
            clock,
            self._peer_clocks,
            self._journal,
            self._traffic,
        )
        self._cell_members = Membership(clock)
        self._zone_members = Membership(clock)
        self._shards = ShardProjection(self._zone_members, clock)
        self._promises = PromiseTracker(self.own_member, zone, clock, self._zone_members)
        self._authority = Authority(
            self.own_member,
            clock,
            settings.timings,
            self._zone_reader,
            self._zone_members,
            self._shards,
            self._promises,
        )
        self._peer_monitor = PeerMonitor(
            self.own_member,
            settings,
            clock,
            self._directory,
            self._zone_members,
            self._cell_members,
            self._promises,
            self._hosts,
            self._journal,
        )
        self._claimer = ShardClaimer(
            self.own_member,
            zone,
            clock,
            settings.timings,
            settings.limits,
            self._zone_members,
            self._shards,
            self._promises,
            self._authority,
            self._peer_monitor,
            self._zone_reader,
            self._zone_writer,
            self._journal,
        )
        self._cell_reader.add_handler(self._cell_members.apply, self._cell_members.reset)
        self._zone_reader.add_handler(self._zone_members.apply, self._zone_members.reset)
        self._zone_reader.add_handler(self._shards.apply, self._shards.reset)

    def _build_contracts(self) -> None:
        self._contracts = ContractProjection(self._cell_members, self._clock)
        self._cell_reader.add_handler(self._contracts.apply, self._contracts.reset)
        self._publisher = ContractPublisher(
            self.own_member,
            self._settings,
            self._clock,
            self._contracts,
            self._cell_members,
            self._cell_reader,
            self._cell_writer,
            self._journal,
        )
        self._lifecycle = Lifecycle(
            self._settings,
            self._clock,
            self._cell_reader,
            self._zone_reader,
            self._contracts,
            self._journal,
        )

    def _build_request_routing(self) -> None:
        self._metrics = DaemonMetrics(self._traffic)
        self._keys = KeyProjection()
        self._zone_reader.add_handler(self._keys.apply, self._keys.reset)
        self._pool = RunnerPool(
            self._settings,
            self._clock,
            self._hosts,
            self._authority,
            self._shards,
            plugins.create(PluginKind.ROUTING, self._settings.routing_plugin),
            self._journal,
        )
        self._router = Router(
            self._settings,
            self._clock,
            self.own_member,
            self._contracts,
            self._zone_members,
            self._pool,
            self._directory,
            IdempotencyGuard(self._keys, self._zone_reader, self._zone_writer),
            RoutingMetrics(self._metrics.registry),
            self._journal,
        )

    def _build_jobs(self) -> None:
        settings, clock = self._settings, self._clock
        self._jobs = JobProjection(
            self._shards,
            settings.limits.known_jobs,
            settings.limits.known_keys,
        )
        self._zone_reader.add_handler(self._jobs.apply, self._jobs.reset)
        self._fleet = WorkerFleet(
            self.own_member,
            settings,
            clock,
            self._hosts,
            self._authority,
            self._shards,
            self._zone_reader,
            self._peer_monitor,
            self._directory,
            self._peer_clocks,
            self._journal,
        )
        self._share_balancer = QuotaShareBalancer(
            settings,
            clock,
            self._contracts,
            self._cell_writer,
            self._journal,
        )
        self._order_sender = OrderSender(
            self.own_member,
            settings,
            clock,
            self._shards,
            self._fleet,
            self._directory,
            self._zone_writer,
            self._journal,
        )
        self._dispatcher = Dispatcher(
            self.own_member,
            settings,
            clock,
            self._authority,
            self._shards,
            self._jobs,
            self._contracts,
            self._hosts,
            self._zone_reader,
            self._zone_writer,
            self._order_sender,
            self._share_balancer,
            JobMetrics(self._metrics.registry),
            self._journal,
        )
        self._job_refresher = JobRefresher(
            settings,
            clock,
            self._jobs,
            self._dispatcher,
            self._zone_writer,
            self._journal,
        )
        self._fleet.register_report_handler(self._dispatcher.handle_report)
        for user in (self._fleet, self._pool, DispatchShardUser()):
            self._claimer.add_shard_user(user)

    def _build_apis(self) -> None:
        settings = self._settings
        job_api = JobApi(
            settings,
            self._clock,
            self._jobs,
            self._contracts,
            self._hosts,
            self._zone_reader,
            self._zone_writer,
            self._journal,
        )
        relay = ZoneRelay(zones_of(settings), self._directory, self._clock)
        job_mover = JobMover(
            self.own_member,
            settings,
            self._clock,
            self._log,
            ZoneRecord,
            ZONE_STREAM,
            self._zone_writer,
            self._journal,
        )
        caller_api = CallerApi(
            settings.availability_zone,
            self._router,
            job_api,
            job_mover,
            relay,
            self._lifecycle,
        )
        admin_api = AdminApi(
            self.own_member,
            settings,
            self._clock,
            self._lifecycle,
            self._metrics.registry,
            self._zone_reader,
            self._cell_members,
            self._shards,
            self._authority,
            self._claimer,
            self._directory,
            self._contracts,
            self._publisher,
            self._jobs,
            self._dispatcher,
            self._fleet,
            self._pool,
            self._router,
            caller_api,
        )
        limits = settings.limits
        server_limits = ServerLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            read_seconds=limits.header_seconds,
            connections=limits.connections,
        )
        # The servers share the memory of the process.
        self._request_budget = RequestBudget(limits.memory_mb * MEGABYTE, limits.body_bytes)
        self._refusals = RefusalReport(self._request_budget, self._clock, self._journal)
        self._callers_server = Server(caller_api.handle, server_limits, budget=self._request_budget)
        self._admin_server = Server(admin_api.handle, server_limits, budget=self._request_budget)
        self._register_peer_handlers(caller_api)

    def _register_peer_handlers(self, caller_api: CallerApi) -> None:
        self._peer_monitor.connect_gossip(
            self._make_gossip, self._handle_gossip, self._publisher.handle_gossip
        )
        server = self._peer_server
        server.add_handler(Heartbeat, self._peer_monitor.answer_heartbeat)
        server.add_handler(Forward, caller_api.answer_forward)
        server.add_handler(PlaceOrder, self._fleet.answer_place_order)
        server.add_handler(TaskAction, self._fleet.answer_task_action)
        server.add_handler(WorkerReport, self._answer_worker_report)
        server.add_handler(ContractsWanted, self._publisher.answer_contracts_query)

    # Running.

    async def _start_components(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        # Listen before joining: peers take a refused connection as proof that a
        # member has ended, which holds only if every member listens.
        await self._peer_server.start(stack, settings.peers.address, settings.peers.port)
        await self._admin_server.start(stack, settings.admin.address, settings.admin.port)
        await self._callers_server.start(stack, settings.callers.address, settings.callers.port)
        self._journal.log(
            Part.LIFE,
            f'listens for callers on port {self._callers_server.port}.',
            callers=self._callers_server.port,
            admin=self._admin_server.port,
            peers=self._peer_server.port,
        )
        stack.push_async_callback(self._log.close)
        stack.push_async_callback(self._host_list.close)
        await self._hosts.refresh()
        wait = settings.timings.log_wait
        await start_task(stack, self._hosts.run, settings.timings.hosts_poll)
        await start_task(stack, self._cell_reader.run, wait)
        await start_task(stack, self._zone_reader.run, wait)
        await start_task(stack, self._cell_writer.run)
        await start_task(stack, self._zone_writer.run)
        await start_task(stack, self._write_join_records)
        await start_task(stack, self._peer_monitor.run, stack)
        await start_task(
            stack,
            self._peer_monitor.detect_ended_members,
            self._zone_writer,
            self._cell_writer,
        )
        for run_loop in (
            self._claimer.run,
            self._publisher.run,
            self._pool.run,
            self._router.run,
            self._dispatcher.run,
            self._dispatcher.follow_log,
            self._order_sender.run,
            self._order_sender.write_queued_records,
            self._share_balancer.run,
            self._job_refresher.run,
            self._update_metrics,
        ):
            await start_task(stack, run_loop)
        await start_task(stack, self._fleet.run, stack)
        # Objects built at startup live as long as the process: later collections skip them.
        gc.collect()
        gc.freeze()

    async def _handle_stop_signal(self, number: int) -> None:
        await self._lifecycle.request_stop()

    async def _serve_until_stopped(self, stack: AsyncExitStack) -> None:
        await start_task(stack, await watch_signals(stack, STOP_SIGNALS, self._handle_stop_signal))
        while not self._lifecycle.stopping and not self._was_declared_ended():
            await curio.ignore_after(0.5, self._lifecycle.stop_requested.wait)
        if self._was_declared_ended():
            self._journal.log(Part.LIFE, 'exits: the log records this member as ended.')
            return
        in_flight = InFlightCounter()
        in_flight.add(lambda: self._router.in_flight)
        in_flight.add(lambda: self._callers_server.requests_in_progress)
        in_flight.add(lambda: self._peer_server.count_in_progress(Forward))
        await self._lifecycle.drain(
            self._claimer,
            in_flight,
            self._zone_writer,
            self._cell_writer,
            self.own_member,
            self._callers_server,
        )

    def _was_declared_ended(self) -> bool:
        if self._lifecycle.stopping:
            return False
        return self._zone_members.has_ended(self.own_member) or self._cell_members.has_ended(
            self.own_member
        )

    async def _write_join_records(self) -> None:
        """Write the join record to both streams, again after each third of the retention."""
        settings = self._settings
        advertised = settings.peers_advertised
        joined = Joined(
            self.own_member,
            settings.host,
            settings.availability_zone,
            advertised.address if advertised else settings.peers.address,
            advertised.port if advertised else self._peer_server.port,
        )
        rejoin_after = settings.timings.retention / 3
        while True:
            for writer in (self._zone_writer, self._cell_writer):
                await _write_join_record(writer, joined)
            self._journal.log(Part.OWNERSHIP, f'joined as {self.own_member}.')
            await self._write_alive_records(rejoin_after)

    async def _write_alive_records(self, seconds: float) -> None:
        """Write liveness records while no message arrives from some monitored peer.

        The network may be cut between this daemon and that peer only; without these
        records the peer would take over shards whose owner is still running.
        """
        period = self._settings.timings.silent_after
        until = self._clock.monotonic() + seconds
        while self._clock.monotonic() < until:
            await curio.sleep(period / ALIVE_CHECKS_PER_PERIOD)
            if not self._peer_monitor.has_silent_member():
                continue
            with suppress(LogError):
                await self._zone_writer.write(Alive(self.own_member), period)
            await curio.sleep(period / 2)

    async def _update_metrics(self) -> None:
        while True:
            self._metrics.update(
                self._zone_reader,
                self._zone_writer,
                self._router.queue_lengths(),
                self._jobs,
                self._dispatcher.planner,
                self._claimer,
                self._hosts,
                self._refusals.update(),
            )
            self._metrics.count_unreadable_records(self._cell_reader, self._zone_reader)
            await curio.sleep(1)

    # Gossip.

    def _make_gossip(self, same_zone: bool) -> Gossip:
        # Promises and the evidence behind them are exchanged only within the zone;
        # other zones need only the free slots and the contracts.
        period = self._settings.timings.silent_after
        zone = self._settings.availability_zone
        heard = self._directory.heard_within(period, zone)
        return Gossip(
            view=self._promises.make_view() if same_zone else (),
            heard=tuple(map(hash_member, heard)) if same_zone else (),
            service_slots=self._pool.free_slots_by_service(),
            leaving=self._pool.observed_leaving_endpoints() if same_zone else (),
            contracts=self._contracts.versions_digest(),
            draining=self._claimer.draining,
        )

    async def _handle_gossip(self, state: PeerState) -> None:
        self._pool.record_reported_leaving_endpoints(state.gossip.leaving)
        if state.gossip.contracts == self._contracts.versions_digest():
            self._lifecycle.peer_contracts_match = True
        if state.gossip.service_slots:
            await self._pool.changed.notify()

    async def _answer_worker_report(self, frame: Frame) -> Message:
        report = frame.message
        if not isinstance(report, WorkerReport):
            return Refused('not a report')
        if not self._dispatcher.is_active:
            return Refused('not the dispatcher')
        await self._dispatcher.handle_report(report)
        return Done()


async def _write_join_record(writer: StreamWriter, joined: Joined) -> None:
    while True:
        try:
            await writer.write(joined, JOIN_WRITE_SECONDS)
        except LogError:
            await curio.sleep(JOIN_RETRY_SECONDS)
            continue
        return


def _make_incarnation(unix_time: float) -> str:
    """Return an id that sorts after those of earlier starts on the host."""
    return f'{int(unix_time * MILLISECONDS_PER_SECOND):013x}{os.urandom(INCARNATION_BYTES).hex()}'
