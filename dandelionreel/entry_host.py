"""One entry host: follows the store, answers clients, and may own the cell."""

import gc
import os
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import curio

from dandelionreel.cell.clients import Relay
from dandelionreel.cell.membership import (
    AdviceFigures,
    ConfigurationExchange,
    DocumentServer,
    Election,
    LocalAdvisor,
    MemberRecord,
    OwnerWatch,
    PartitionDetector,
    PeerLinks,
    make_incarnation_id,
)
from dandelionreel.cell.model import Member, Registration, Runner
from dandelionreel.cell.owner import Dispatcher, DispatcherDependencies, PacingFigures
from dandelionreel.cell.store import GroupWriter
from dandelionreel.client_refusals import RefusalReport
from dandelionreel.entry_clients import make_client_api
from dandelionreel.entry_metrics import EntryMetrics
from dandelionreel.entry_peers import start_peer_server
from dandelionreel.entry_readiness import EntryReadiness
from dandelionreel.entry_reads import EntryReads
from dandelionreel.entry_stop import HostStop
from dandelionreel.http import CONTROL_LIMITS, RequestBudget, Server, ServerLimits
from dandelionreel.kernel import (
    Environment,
    ExitStatus,
    Journal,
    LogStream,
    Part,
    start_task,
    watch_signals,
)
from dandelionreel.peers import Frame, Message
from dandelionreel.platform import (
    CELL_TOPIC,
    HostSettings,
    HttpAdvice,
    HttpRunner,
    SettingsError,
    StoreTopic,
    load_host_settings,
)

#: Metrics are served on this port of the host's address (deploy/system.toml).
METRICS_PORT = 9464
#: Seconds between updates of the gauges.
GAUGE_UPDATE_SECONDS = 1.0
POLL_SECONDS = 0.05
#: SIGTERM and SIGINT stop the host; SIGHUP checks its settings file.
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class EntryHost:
    """Builds all parts of an entry host, runs them, and stops them in order."""

    def __init__(self, settings: HostSettings, settings_path: Path, stdout: int) -> None:
        """Write logs to the descriptor ``stdout``."""
        environment = Environment()
        self._settings = settings
        self._settings_path = settings_path
        self._clock = environment.clock
        self._logs = LogStream(stdout)
        self._journal = Journal(self._logs, settings.host)
        self._metrics = EntryMetrics()
        self._dispatcher: Dispatcher | None = None
        self._member_record: MemberRecord | None = None
        self._stopping = False
        self._stop_requested = curio.Event()
        self._reads = EntryReads(
            settings.host,
            settings.store,
            settings.configuration_deadline,
            lambda: self._dispatcher is not None,
            self._metrics.count_unreadable,
            self._clock,
            self._journal,
        )
        self._cell_projection = self._reads.cell
        # The owner has its own connection to the store: claims and the owner's records must not
        # wait behind submissions.
        self._owner_topic = StoreTopic(CELL_TOPIC, settings.store)
        self._writer = GroupWriter(self._reads.topics[CELL_TOPIC], self._clock, self._journal)
        incarnation = make_incarnation_id(settings.host)
        self._peer_links = PeerLinks(incarnation, self._clock)
        self._election = Election(
            self._owner_topic,
            self._reads.cell_follower,
            self._cell_projection,
            incarnation,
            self._peer_links.request,
            self._clock,
            self._journal,
        )
        self._advice = HttpAdvice(settings.advice) if settings.advice else None
        self._advisor = LocalAdvisor(self._advice)
        self._relay = Relay(
            settings.host,
            self._cell_projection.state,
            self._peer_links,
            self._clock,
            self._journal,
            self._election.record_query_unanswered,
        )
        self._partition_detector = PartitionDetector(
            settings.host,
            settings.zone,
            self._cell_projection.state,
            self._peer_links,
            self._store_answered_at,
            lambda: self._reads.received_at,
            self._clock,
            self._journal,
        )
        self._configuration_exchange = ConfigurationExchange(
            settings.host,
            self._cell_projection.state,
            self._peer_links,
            self._reads.configuration,
            self._reads.configuration_current_at,
            self._clock,
            self._journal,
            [Member('', seed.host, seed.port) for seed in settings.seeds],
            self._reads.operator_follower.skip_to,
        )
        self._readiness = EntryReadiness(
            self._reads.configuration,
            self._partition_detector,
            self._writer,
            self._reads.cell_follower,
            lambda: self._dispatcher,
            self._clock,
            self._journal,
        )
        self._owner_watch = OwnerWatch(
            settings.host,
            self._cell_projection.state,
            self._election,
            self._journal,
        )
        self._client_api = make_client_api(
            settings,
            self._reads,
            self._writer,
            self._relay,
            self._configuration_exchange,
            lambda: self._dispatcher,
            self._partition_detector,
            self._readiness.rotation,
            self._clock,
            self._journal,
            self._metrics,
        )
        self._request_budget = RequestBudget(settings.memory_bytes)
        self._refusals = RefusalReport(self._request_budget, self._clock, self._journal)
        self._client_server = Server(
            self._client_api.handle,
            ServerLimits(connections=settings.max_connections),
            # Closes kept connections of an unready host: its clients would otherwise go on
            # sending requests in vain to a host that the balancer has taken out.
            self._readiness.is_unready,
            self._request_budget,
        )

    async def run(self) -> int:
        """Run until SIGTERM; return the exit status."""
        self._journal.open()
        async with AsyncExitStack() as stack:
            stack.callback(self._journal.close)
            await self._start_host(stack)
            await self._stop_requested.wait()
            await self._stop_host()
        return ExitStatus.SUCCESS

    async def _start_host(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        self._journal.log(
            Part.LIFE,
            'starts.',
            zone=settings.zone,
            incarnation=self._election.incarnation,
        )
        closeables: list[Any] = [*self._reads.topics.values(), self._owner_topic, self._peer_links]
        if self._advice is not None:
            closeables.append(self._advice)
        for closeable in closeables:
            stack.push_async_callback(closeable.close)
        await start_task(stack, await watch_signals(stack, SIGNALS, self._handle_signal))
        for follower in self._reads.followers:
            await start_task(stack, follower.run)
        await start_task(stack, self._writer.run)
        await self._start_servers(stack)
        for run_part in (
            self._keep_member_record,
            self._dispatch_in_terms,
            self._owner_watch.run,
            self._partition_detector.run,
            self._configuration_exchange.run,
            self._configuration_exchange.run_downloads,
            self._update_gauges,
        ):
            await start_task(stack, run_part)

    async def _start_servers(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        readiness = Server(
            self._readiness.answer_check, CONTROL_LIMITS, budget=self._request_budget
        )
        await readiness.start(stack, settings.readiness.host, settings.readiness.port)
        metrics = Server(self._metrics.handle, CONTROL_LIMITS, budget=self._request_budget)
        await metrics.start(stack, settings.peers.host, METRICS_PORT)
        self._peer_server = await start_peer_server(
            stack,
            settings.peers,
            self._client_api,
            self._election,
            self._advisor,
            self._configuration_exchange,
            DocumentServer(self._reads.configuration),
            self._answer_owner_query,
            self._clock,
            self._journal,
        )
        await self._client_server.start(stack, settings.clients.host, settings.clients.port)

    async def _answer_owner_query(self, frame: Frame) -> Message:
        dispatcher = self._dispatcher
        acting = (
            dispatcher is not None
            and dispatcher.may_send_orders
            and not dispatcher.store_is_failing
        )
        ready = self._may_claim() and self._reads.has_reached_ends
        return self._election.answer_owner_query(frame, acting, ready)

    def _store_answered_at(self) -> float:
        dispatcher = self._dispatcher
        stored_at = self._writer.stored_at if dispatcher is None else dispatcher.stored_at
        return max(self._reads.answered_at, stored_at)

    async def _keep_member_record(self) -> None:
        """Publish in the store where this host listens for peers, once it has read the store."""
        settings = self._settings
        while not self._reads.cell_follower.has_snapshot:
            await curio.sleep(POLL_SECONDS)
        member = Member(
            settings.zone,
            settings.peers.host,
            settings.peers.port,
            self._election.incarnation,
            settings.cores,
            self._reads.cell_follower.read_from,
        )
        self._member_record = MemberRecord(
            settings.host, member, self._cell_projection.state, self._writer, self._journal
        )
        await self._member_record.run()

    async def _delete_member_record(self) -> None:
        if self._member_record is not None:
            await self._member_record.delete()

    async def _dispatch_in_terms(self) -> None:
        """Dispatch the cell's jobs during each term that this host wins."""
        settings = self._settings
        dependencies = DispatcherDependencies(
            topic=self._owner_topic,
            follower=self._reads.cell_follower,
            jobs=self._cell_projection,
            runners=self._reads.runners,
            configuration=self._reads.configuration,
            election=self._election,
            links=self._peer_links,
            advisor=self._advisor,
            make_runner=_make_runner,
            clock=self._clock,
            journal=self._journal,
            host=settings.host,
            gang_timeout=settings.gang_timeout,
            max_lease=settings.max_lease,
            status_retention=settings.status_retention,
            get_runner_list_age=lambda: self._reads.runners_follower.age(self._clock.monotonic()),
            overload_control=settings.overload_control,
            count_refused_job=self._metrics.count_refused_job,
        )
        while True:
            term = await self._election.wait_for_term(self._may_claim)
            self._dispatcher = Dispatcher(dependencies, term)
            # The list of runners may be outdated on a host that did not own the cell.
            await self._reads.runners_follower.request_read()
            try:
                await self._dispatcher.run()
            finally:
                self._dispatcher = None

    def _may_claim(self) -> bool:
        # A host that does not follow the list of runners reads it once it owns the cell.
        return not self._stopping and self._reads.has_snapshots

    async def _update_gauges(self) -> None:
        while True:
            dispatcher = self._dispatcher
            now = self._clock.monotonic()
            self._metrics.update_gauges(
                dispatcher.cell if dispatcher else None,
                self._reads.configuration.current,
                self._reads.cell_follower.age(now),
                self._reads.operator_follower.age(now),
                self._logs.dropped,
            )
            self._metrics.update_refused_requests(self._refusals.update())
            self._metrics.update_traffic(self._peer_links.traffic)
            figures = dispatcher.pacing_figures if dispatcher else PacingFigures()
            self._metrics.update_pacing(figures)
            self._metrics.update_advice(
                dispatcher.advice_figures if dispatcher else AdviceFigures()
            )
            await curio.sleep(GAUGE_UPDATE_SECONDS)

    async def _handle_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self._check_settings_file()
            return
        self._stopping = True
        self._readiness.mark_stopping()
        await self._stop_requested.set()

    def _check_settings_file(self) -> None:
        """Log whether the settings file is valid; its changes apply after a restart."""
        try:
            load_host_settings(self._settings_path)
        except (SettingsError, OSError) as error:
            self._journal.log(Part.LIFE, f'the settings file is invalid and ignored: {error}.')
            return
        self._journal.log(Part.LIFE, 'the settings file is valid; changes apply after a restart.')

    async def _stop_host(self) -> None:
        stop = HostStop(
            self._client_server,
            self._peer_server,
            self._settings.stop_grace,
            self._clock,
            self._journal,
        )
        await stop.run(self._hand_over_cell, self._delete_member_record)

    async def _hand_over_cell(self) -> None:
        if self._dispatcher is not None:
            await self._dispatcher.end_term()


def _make_runner(registration: Registration) -> Runner:
    return HttpRunner(registration)


def main(environment: Environment | None = None) -> int:
    """Run an entry host with the settings file that is named by the environment."""
    from dandelionreel.platform import DEFAULT_PATH, SETTINGS_VARIABLE

    environment = environment or Environment(program='dandelionreel-entry')
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        settings = load_host_settings(path)
        host = EntryHost(settings, path, environment.stdout.fileno())
    except OSError as error:
        environment.write_error(f'{path}: {error.strerror}; name a readable settings file')
        return ExitStatus.USAGE
    except SettingsError as error:
        environment.write_error(f'{path}: {error}')
        return ExitStatus.USAGE
    try:
        status = curio.run(host.run)
    except OSError as error:
        environment.write_error(f'cannot listen: {error}; free the port or change the settings')
        return ExitStatus.ERROR
    # The interpreter's last garbage collection may outlast the grace of a host that is short of
    # processor time. It leaves out frozen objects.
    gc.freeze()
    return status
