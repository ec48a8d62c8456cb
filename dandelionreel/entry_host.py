"""One entry host: follows the store, answers clients, and may own the cell."""

import os
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import curio

from dandelionreel.cell import Registration, Runner, UnreadableLog
from dandelionreel.cell._advisors import LocalAdvisor, PeerLinks
from dandelionreel.cell._completions import Completions
from dandelionreel.cell._contact_watch import ContactWatch
from dandelionreel.cell._directory import ConfigurationFolder, JobFolder
from dandelionreel.cell._dispatcher import Dispatcher
from dandelionreel.cell._election import Election, name_incarnation
from dandelionreel.cell._follower import Follower
from dandelionreel.cell._front import ClientFront
from dandelionreel.cell._owner_watch import OwnerWatch
from dandelionreel.cell._parts import DispatcherParts
from dandelionreel.cell._readiness import Condition, Rotation, find_hindrance
from dandelionreel.cell._records import MEMBER, Member, make_record
from dandelionreel.cell._relay import Relay
from dandelionreel.cell._runner_list import RunnersFolder
from dandelionreel.cell._standing import is_successor
from dandelionreel.cell._writer import GroupWriter, Written
from dandelionreel.entry_metrics import EntryMetrics
from dandelionreel.http import Answer, Request, Server, ServerLimits
from dandelionreel.kernel import (
    Environment,
    ExitStatus,
    Journal,
    LogStream,
    Part,
    seconds_or_none,
    start_task,
    watch_signals,
)
from dandelionreel.peers import (
    AdviceWanted,
    CompletionsTold,
    CompletionsWanted,
    Done,
    EchoBook,
    Forward,
    Frame,
    Message,
    OwnerAsked,
    OwnerFailing,
    PeerServer,
    Refused,
    Traffic,
)
from dandelionreel.platform import (
    CELL_TOPIC,
    OPERATOR_TOPIC,
    RUNNERS_TOPIC,
    HostSettings,
    HttpAdvice,
    HttpRunner,
    JsonClientCodec,
    JsonRecordCodec,
    SettingsError,
    StoreTopic,
    load_host_settings,
)

#: Metrics are served on this port of the host's address (deploy/system.toml).
METRICS_PORT = 9464
#: Seconds that a read waits at the store for news. The owner's heartbeats end
#: most reads of the cell's topic sooner.
CELL_WAIT = 0.5
OPERATOR_WAIT = 2.0
RUNNERS_WAIT = 1.0
#: Seconds in which records are gathered into one read at the owner: of the
#: cell's records, most of them its own, and of the runners' heartbeats.
OWNER_CELL_PAUSE = 0.15
OWNER_RUNNERS_PAUSE = 0.2
#: The same on the other hosts. There a client that asks for a job that is not
#: over ends the pause. Without it nine hosts made 31,000 calls to the store
#: in 46 s, with it 9,000.
CELL_PAUSE = 0.25
RUNNERS_PAUSE = 2.0
OPERATOR_PAUSE = 0.1
#: Seconds between updates of the gauges.
GAUGE_SECONDS = 1.0
#: Seconds for which a stopping host still takes connections: the balancer
#: needs two looks, a second apart, to notice.
BALANCER_SECONDS = 2.5
#: Seconds kept free before a stopping host is killed.
EXIT_MARGIN = 1.0
POLL_SECONDS = 0.05
MEMBER_PATIENCE = 5.0
#: Stop and reload.
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


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
        self._stopping = False
        #: Why clients are to go elsewhere, as the balancer was last told.
        self._hindrance = 'it is starting'
        self._stop_requested = curio.Event()
        codec = JsonRecordCodec()
        self._topics = {
            name: StoreTopic(name, settings.store)
            for name in (CELL_TOPIC, OPERATOR_TOPIC, RUNNERS_TOPIC)
        }
        # Claims and the owner's records must not wait behind submissions.
        self._owner_topic = StoreTopic(CELL_TOPIC, settings.store)
        self._configuration = ConfigurationFolder(
            codec,
            self._journal,
            self._watch_unreadable('operator', Part.CONTRACTS),
        )
        self._runners = RunnersFolder(
            codec,
            self._clock,
            self._journal,
            self._configuration.names_service,
            self._watch_unreadable('runners', Part.WORKERS),
        )
        self._jobs = JobFolder(
            self._clock,
            self._journal,
            self._watch_unreadable('cell', Part.LOG),
        )
        self._cell_follower = self._follow('cell', CELL_TOPIC, self._jobs, CELL_WAIT)
        self._runners_follower = self._follow(
            'runners',
            RUNNERS_TOPIC,
            self._runners,
            RUNNERS_WAIT,
        )
        self._followers = (
            self._cell_follower,
            self._follow('operator', OPERATOR_TOPIC, self._configuration, OPERATOR_WAIT),
            self._runners_follower,
        )
        self._writer = GroupWriter(self._topics[CELL_TOPIC], self._clock, self._journal)
        incarnation = name_incarnation(settings.host)
        self._links = PeerLinks(incarnation, self._clock)
        self._completions = Completions(self._clock)
        self._election = Election(
            self._owner_topic,
            self._cell_follower,
            self._jobs,
            incarnation,
            self._links.ask,
            self._clock,
            self._journal,
        )
        self._advice = HttpAdvice(settings.advice) if settings.advice else None
        self._advisor = LocalAdvisor(self._advice)
        self._relay = Relay(
            settings.host,
            self._jobs.book,
            self._links,
            self._clock,
            self._journal,
        )
        self._contact = ContactWatch(
            settings.host,
            settings.zone,
            self._jobs.book,
            self._links,
            self._store_answered_at,
            self._clock,
            self._journal,
        )
        self._rotation = Rotation()
        self._watch = OwnerWatch(
            settings.host,
            self._jobs.book,
            self._election,
            self._journal,
        )
        self._front = ClientFront(
            settings.zone,
            JsonClientCodec(),
            self._configuration,
            self._jobs,
            self._cell_follower,
            self._writer,
            self._relay,
            lambda: self._dispatcher,
            self._completions,
            self._contact,
            self._rotation,
            self._clock,
            self._journal,
            self._metrics.note_answer,
        )
        self._callers = Server(
            self._front.handle,
            ServerLimits(connections=settings.connections),
            # A client that keeps its connection would go on asking a host in vain that
            # the balancer sends nobody to.
            lambda: bool(find_hindrance(self._condition())),
        )

    async def run(self) -> int:
        """Run until SIGTERM; return the exit status."""
        self._journal.open()
        async with AsyncExitStack() as stack:
            stack.callback(self._journal.close)
            await self._start(stack)
            await self._stop_requested.wait()
            await self._stop()
        return ExitStatus.SUCCESS

    def _follow(self, name: str, topic: str, folder: Any, wait: float) -> Follower:
        return Follower(
            name,
            self._topics[topic],
            folder,
            self._clock,
            self._journal,
            wait,
            lambda: self._pause(topic),
            lambda: topic != RUNNERS_TOPIC or self._wants_runners(),
        )

    def _wants_runners(self) -> bool:
        members = self._jobs.book.member_by_host
        return self._dispatcher is not None or is_successor(members, self._settings.host)

    def _watch_unreadable(self, topic: str, part: Part) -> UnreadableLog:
        return UnreadableLog(topic, part, self._clock, self._journal, self._metrics.note_unreadable)

    def _pause(self, topic: str) -> float:
        if topic == OPERATOR_TOPIC:
            return OPERATOR_PAUSE
        if self._dispatcher is not None:
            return OWNER_CELL_PAUSE if topic == CELL_TOPIC else OWNER_RUNNERS_PAUSE
        return CELL_PAUSE if topic == CELL_TOPIC else RUNNERS_PAUSE

    async def _start(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        self._journal.tell(
            Part.LIFE,
            'starts.',
            zone=settings.zone,
            incarnation=self._election.incarnation,
        )
        for topic in (*self._topics.values(), self._owner_topic):
            stack.push_async_callback(topic.close)
        stack.push_async_callback(self._links.close)
        if self._advice is not None:
            stack.push_async_callback(self._advice.close)
        await start_task(stack, await watch_signals(stack, SIGNALS, self._take_signal))
        for follower in self._followers:
            await start_task(stack, follower.run)
        await start_task(stack, self._writer.run)
        await self._listen(stack)
        for work in (
            self._join,
            self._own,
            self._watch.run,
            self._contact.run,
            self._update_gauges,
        ):
            await start_task(stack, work)

    async def _listen(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        readiness = Server(self._answer_ready)
        await readiness.start(stack, settings.readiness.host, settings.readiness.port)
        metrics = Server(self._metrics.handle)
        await metrics.start(stack, settings.peers.host, METRICS_PORT)
        peers = PeerServer(
            self._election.incarnation,
            self._clock,
            EchoBook(),
            self._journal,
            Traffic(),
        )
        answerers = (
            (Forward, self._front.handle_relayed),
            (OwnerFailing, self._election.take_failing),
            (OwnerAsked, self._answer_asked),
            (AdviceWanted, self._advisor.answer),
            (CompletionsTold, self._take_completions),
            (CompletionsWanted, self._answer_completions),
        )
        for kind, answerer in answerers:
            peers.answer(kind, answerer)
        await peers.start(stack, settings.peers.host, settings.peers.port)
        await self._callers.start(stack, settings.callers.host, settings.callers.port)

    async def _answer_ready(self, request: Request) -> Answer:
        ready = self._is_ready()
        self._rotation.note_question(self._clock.monotonic(), ready=ready)
        return Answer(HTTP_OK if ready else HTTP_UNAVAILABLE)

    async def _answer_asked(self, frame: Frame) -> Message:
        dispatcher = self._dispatcher
        acting = dispatcher is not None and dispatcher.acting and not dispatcher.store_is_failing
        ready = self._may_own() and all(
            one.resting or (one.complete and one.reached) for one in self._followers
        )
        return self._election.answer_asked(frame, acting, ready)

    async def _take_completions(self, frame: Frame) -> Message:
        told: Any = frame.message
        if self._completions.take_word(told.epoch, told.jobs):
            return Done()
        return Refused('a later owner has asked')

    async def _answer_completions(self, frame: Frame) -> Message:
        wanted: Any = frame.message
        return CompletionsTold(wanted.epoch, self._completions.answer(wanted.epoch))

    def _is_ready(self) -> bool:
        condition = self._condition()
        hindrance = find_hindrance(condition)
        if hindrance != self._hindrance:
            self._hindrance = hindrance
            self._journal.tell(
                Part.LIFE,
                f'asks for no clients: {hindrance}.' if hindrance else 'asks for clients.',
                store_age=seconds_or_none(condition.store_age),
            )
        return not hindrance

    def _condition(self) -> Condition:
        now = self._clock.monotonic()
        dispatcher = self._dispatcher
        owner_fails = dispatcher is not None and dispatcher.store_is_failing
        return Condition(
            stopping=self._stopping,
            configured=self._configuration.current is not None,
            cut_off=self._contact.cut_off,
            store_takes_nothing=self._writer.in_trouble(now) or owner_fails,
            store_age=self._cell_follower.age(now),
        )

    def _store_answered_at(self) -> float:
        answered_at = max(follower.answered_at for follower in self._followers)
        dispatcher = self._dispatcher
        stored_at = self._writer.stored_at if dispatcher is None else dispatcher.stored_at
        return max(answered_at, stored_at)

    async def _join(self) -> None:
        """Tell the other hosts where this one listens for peers."""
        settings = self._settings
        while not self._cell_follower.started:
            await curio.sleep(POLL_SECONDS)
        member = Member(
            settings.zone,
            settings.peers.host,
            settings.peers.port,
            self._election.incarnation,
            settings.cores,
            self._cell_follower.read_from,
        )
        record = make_record(MEMBER + settings.host, member)
        while await self._writer.write([record], MEMBER_PATIENCE) is not Written.STORED:
            self._journal.tell(Part.PEERS, 'could not make itself known yet.')

    async def _own(self) -> None:
        """Own the cell whenever it falls to this host."""
        settings = self._settings
        parts = DispatcherParts(
            topic=self._owner_topic,
            follower=self._cell_follower,
            jobs=self._jobs,
            runners=self._runners,
            configuration=self._configuration,
            election=self._election,
            links=self._links,
            advisor=self._advisor,
            completions=self._completions,
            make_runner=_make_runner,
            clock=self._clock,
            journal=self._journal,
            host=settings.host,
            gang_timeout=settings.gang_timeout,
            longest_lease=settings.longest_lease,
            status_kept=settings.status_kept,
            list_age=lambda: self._runners_follower.age(self._clock.monotonic()),
        )
        while True:
            term = await self._election.wait_for_term(self._may_own)
            self._dispatcher = Dispatcher(parts, term)
            # What a host that does not own knows of the runners may be old.
            await self._runners_follower.hurry()
            try:
                await self._dispatcher.run()
            finally:
                self._dispatcher = None

    def _may_own(self) -> bool:
        # A host that does not keep the list of runners reads it once it owns.
        return not self._stopping and all(one.started or one.resting for one in self._followers)

    async def _update_gauges(self) -> None:
        while True:
            dispatcher = self._dispatcher
            self._metrics.update(
                dispatcher.cell if dispatcher else None,
                self._cell_follower.age(self._clock.monotonic()),
                self._logs.dropped,
            )
            await curio.sleep(GAUGE_SECONDS)

    async def _take_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self._reload()
            return
        self._stopping = True
        await self._stop_requested.set()

    def _reload(self) -> None:
        """Read the settings again; addresses stay those of the start."""
        try:
            load_host_settings(self._settings_path)
        except (SettingsError, OSError) as error:
            self._journal.tell(Part.LIFE, f'keeps its settings: {error}.')
            return
        self._journal.tell(Part.LIFE, 'has read its settings again.')

    async def _stop(self) -> None:
        """Hand the cell over, let the balancer notice, finish what is in flight."""
        began = self._clock.monotonic()
        self._journal.tell(Part.LIFE, 'is stopping; it is not ready any more.')
        if self._dispatcher is not None:
            await self._dispatcher.end()
        last = began + self._settings.grace - EXIT_MARGIN
        while self._clock.monotonic() < min(last, began + BALANCER_SECONDS):
            await curio.sleep(POLL_SECONDS)
        self._callers.finish()
        while self._callers.busy and self._clock.monotonic() < last:
            await curio.sleep(POLL_SECONDS)
        self._journal.tell(Part.LIFE, 'has stopped.', unanswered=self._callers.busy)


def _make_runner(registration: Registration) -> Runner:
    return HttpRunner(registration)


def main(environment: Environment | None = None) -> int:
    """Run an entry host with the settings file that the environment names."""
    from dandelionreel.platform import DEFAULT_PATH, SETTINGS_VARIABLE

    environment = environment or Environment(program='dandelionreel-entry')
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        settings = load_host_settings(path)
        host = EntryHost(settings, path, environment.stdout.fileno())
    except OSError as error:
        environment.tell_error(f'{path}: {error.strerror}; name a readable settings file')
        return ExitStatus.USAGE
    except SettingsError as error:
        environment.tell_error(f'{path}: {error}')
        return ExitStatus.USAGE
    try:
        return curio.run(host.run)
    except OSError as error:
        environment.tell_error(f'cannot listen: {error}; free the port or change the settings')
        return ExitStatus.ERROR
