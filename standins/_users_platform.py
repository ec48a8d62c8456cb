"""A stand-in for the users' platform in one thread: store, runners and policy service.

They serve the published protocol over HTTP, so real daemons reach them through the
adapter, and have faults that tests set. Runners record every run; tests check these records.
"""

import base64
import json
import random
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import curio

from dandelionreel.http import (
    CloseConnection,
    Request,
    Response,
    Server,
    ServerLimits,
    json_response,
)
from dandelionreel.kernel import start_task
from standins._other_writer import OtherWriter
from standins._relay import LinkFaults, Relay

LENGTH_PREFIX = struct.Struct('>I')
MILLISECONDS_PER_SECOND = 1000
STOP_SECONDS = 0.1
POLL_SECONDS = 0.01
#: Seconds from the start of a task that crashes its runner to the crash, and from the crash
#: to the runner's restart.
CRASH_DELAY_SECONDS = 0.01
RESTART_SECONDS = 1.0
#: Processors of a runner, in thousandths of one.
FULL_CPU = 8000
#: Seconds that the clock of a runner shows when the platform starts.
INITIAL_CLOCK_SECONDS = 5000.0
#: Seconds for which a runner keeps its tasks without a renewal, at most.
MAX_LEASE_SECONDS = 10.0
SERVER_LIMITS = ServerLimits(idle_seconds=600)


@dataclass
class StoreFaults:
    """Faults of the store; shares are between 0 and 1, times in seconds."""

    down: bool = False
    lose_share: float = 0.0
    delay: float = 0.0
    #: Source addresses whose requests are refused.
    refused_hosts: set[str] = field(default_factory=set)
    #: Topics whose requests are never answered.
    silent_topics: set[str] = field(default_factory=set)


class _Topic:
    def __init__(self) -> None:
        #: Each consists of the length of its key, the key and the value.
        self.records: list[bytes] = []
        self.epoch = 0
        self.next_sequence = 0
        self.answer_by_sequence: dict[int, dict] = {}
        #: How often the waiting reads were silenced.
        self.silenced_count = 0


class PlatformStore:
    """Keyed topics with conditional and fenced appends."""

    def __init__(self, seed: int) -> None:
        """Start empty; lost answers are drawn from ``seed``."""
        self._topic_by_name: dict[str, _Topic] = {}
        self._random = random.Random(seed)
        self.faults = StoreFaults()

    def silence_reads(self, topic: str) -> None:
        """Never answer the reads of a topic that wait now; their connections stay open."""
        self._topic(topic).silenced_count += 1

    def put(self, topic: str, key: str, document: object) -> None:
        """Write a record as the operator or a runner does; ``None`` deletes the key."""
        content = b'' if document is None else json.dumps(document).encode()
        self.put_raw(topic, bytes([len(key)]) + key.encode() + content)

    def put_raw(self, topic: str, record: bytes) -> None:
        """Write arbitrary bytes as a record, as another writer may."""
        self._topic(topic).records.append(record)

    def newest_value(self, topic: str, key: str) -> bytes:
        """Return the newest value of a key, empty without one."""
        prefix = bytes([len(key)]) + key.encode()
        for record in reversed(self._topic(topic).records):
            if record.startswith(prefix):
                return record[len(prefix) :]
        return b''

    async def handle(self, request: Request) -> Response:
        """Answer a request, or fail as ``faults`` says."""
        if self.faults.delay:
            await curio.sleep(self.faults.delay)
        if self.faults.down:
            return Response(503)
        if request.query_by_name['topic'] in self.faults.silent_topics:
            await curio.Event().wait()
        answer = await self._answer(request)
        if request.method == 'POST' and self._random.random() < self.faults.lose_share:
            raise CloseConnection
        return answer

    async def _answer(self, request: Request) -> Response:
        fields = request.query_by_name
        topic = self._topic(fields['topic'])
        if request.path == '/v1/log-append':
            return self._append(topic, fields, request.body)
        if request.path == '/v1/log-newest':
            return self._newest(topic)
        return await self._read(topic, int(fields['from']), int(fields.get('wait_ms', 0)))

    def _append(self, topic: _Topic, fields: dict[str, str], body: bytes) -> Response:
        if 'producer' in fields:
            epoch, sequence = int(fields['epoch']), int(fields['sequence'])
            if epoch < topic.epoch:
                return json_response({'reason': 'fenced'}, 409)
            if epoch == topic.epoch and sequence in topic.answer_by_sequence:
                return json_response(topic.answer_by_sequence[sequence])
            if epoch == topic.epoch and sequence != topic.next_sequence:
                return json_response({'reason': 'seq'}, 409)
        if 'at' in fields and int(fields['at']) != len(topic.records):
            return json_response({'end': len(topic.records)}, 412)
        done = {'offset': len(topic.records)}
        position = 0
        while position < len(body):
            length = LENGTH_PREFIX.unpack_from(body, position)[0]
            topic.records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        done['end'] = len(topic.records)
        if 'producer' in fields:
            if epoch > topic.epoch:
                topic.answer_by_sequence.clear()
            topic.epoch = epoch
            topic.next_sequence = sequence + 1
            topic.answer_by_sequence[sequence] = done
        return json_response(done)

    def _newest(self, topic: _Topic) -> Response:
        newest: dict[bytes, tuple[int, bytes]] = {}
        for offset, record in enumerate(topic.records):
            length = record[0] if record else 0
            newest[record[1 : 1 + length]] = (offset, record[1 + length :])
        entries = [
            {
                'key': key.decode(errors='replace'),
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (offset, content) in newest.items()
            if content
        ]
        return json_response({'items': entries, 'has_more': False, 'end': len(topic.records)})

    async def _read(self, topic: _Topic, offset: int, wait_ms: int) -> Response:
        until = time.monotonic() + wait_ms / MILLISECONDS_PER_SECOND
        silenced_count = topic.silenced_count
        while len(topic.records) <= offset and time.monotonic() < until:
            await curio.sleep(POLL_SECONDS)
        if topic.silenced_count > silenced_count:
            await curio.Event().wait()
        body = struct.pack('>QQ', len(topic.records), 0)
        for record in topic.records[offset:]:
            body += LENGTH_PREFIX.pack(len(record)) + record
        return Response(200, (), body)

    def _topic(self, name: str) -> _Topic:
        return self._topic_by_name.setdefault(name, _Topic())


@dataclass(frozen=True)
class AccountRow:
    """A client account as the operator writes it; a ``cpu`` of 0 means no limit."""

    name: str
    keys: tuple[str, ...]
    cpu: int = 0
    weight: float = 100.0

    def encode(self) -> dict:
        """Return the row of the configuration."""
        maximum = {'cpu': self.cpu, 'mem_mb': 0, 'gpu': 0}
        return {
            'name': self.name,
            'api_keys': list(self.keys),
            'weight': self.weight,
            'maximum': maximum,
        }


class QuotaHistory:
    """The quotas that each account has had over time."""

    def __init__(self) -> None:
        """Start without accounts."""
        self._quotas_by_account: dict[str, list[tuple[float, int]]] = {}

    def add_configuration(self, now: float, accounts: Sequence[AccountRow]) -> None:
        """Add a new configuration; an account missing from it has no limit."""
        names = {row.name for row in accounts}
        for name in self._quotas_by_account.keys() - names:
            self._quotas_by_account[name].append((now, 0))
        for row in accounts:
            self._quotas_by_account.setdefault(row.name, []).append((now, row.cpu))

    def get_highest(self, account: str, since: float, until: float) -> int:
        """Return the highest quota that may have been in effect in a period; 0 means no limit."""
        found = []
        for number, (at, cpu) in enumerate(self._quotas_by_account.get(account, ())):
            later = self._quotas_by_account[account][number + 1 :]
            if at <= until and (not later or later[0][0] >= since):
                found.append(cpu)
        return 0 if not found or 0 in found else max(found)


#: Time of a change in monotonic seconds, and the processors from then on in thousandths.
CapacityChange = tuple[float, int]


@dataclass
class Run:
    """A run as its runner recorded it; times are monotonic seconds."""

    task: str
    number: int
    runner: str
    cpu: int
    began: float
    planned_end: float
    ended: float | None = None
    outcome: str = ''
    stopping: bool = False


class PlatformRunner:
    """Runs tasks under a fencing token and one lease for all of them.

    A task's payload says what it does: ``cpu seconds [fail | crash | crash-after=SECONDS]``, where
    the last one crashes its runner after the answer to its start. A crash ends all tasks there and
    breaks all connections; the runner restarts some time later, under another name or as another
    incarnation of the same name.
    """

    def __init__(self, name: str, runs: list[Run], *, reports_incarnation: bool = False) -> None:
        """Record every run in ``runs``."""
        self.name = name
        self.is_down = False
        #: The Unix millisecond at which the current incarnation started.
        self.started_at_ms = int(time.time() * MILLISECONDS_PER_SECOND)
        #: Whether the connections to the crashed process are still to be closed.
        self.reset_pending = False
        #: Whether the machine is silent: connections stay open and nothing is answered.
        self.is_dark = False
        #: Number of restarts after which connections to the former process are reset on first use.
        self.dark_restarts = 0
        self.reports_incarnation = reports_incarnation
        #: Handles requests instead of the runner if it is set.
        self.override_handler: Callable[[Request], Awaitable[Response]] | None = None
        self._clock_zero = time.monotonic() - INITIAL_CLOCK_SECONDS
        #: The capacities that the runner has reported, the latest last.
        self.capacity_changes: list[CapacityChange] = [(0.0, FULL_CPU)]
        #: Called with the runner after a task has crashed it.
        self.on_crash: Callable[[PlatformRunner], Awaitable[None]] | None = None
        #: Whether a start that exceeds the capacity is rejected, as real runners do. Otherwise it
        #: is run, and the record of the runs shows the fault of the owner.
        self.rejects_excess_starts = False
        #: Seconds for which a ticket of the policy service is accepted; ``None`` for no limit.
        self.ticket_seconds: float | None = None
        #: Number of starts that were rejected, by the reason in the answer.
        self.rejections: Counter[str] = Counter()
        self._runs = runs
        self._fencing_token = 0
        self._deadline = 0.0
        self._run_by_task: dict[str, Run] = {}
        self._highest_run_by_task: dict[str, int] = {}
        self._unacknowledged_ends: list[list] = []
        self._next_end_number = 1

    def clock(self) -> float:
        """Return what the runner's clock shows, in seconds."""
        return time.monotonic() - self._clock_zero

    async def handle(self, request: Request) -> Response:
        """Answer an order or a poll."""
        while self.is_dark:
            await curio.sleep(POLL_SECONDS)
            if not self.is_dark:
                # The next process resets a connection that it does not know.
                raise CloseConnection
        if self.is_down or self.reset_pending:
            raise CloseConnection
        if self.override_handler is not None:
            return await self.override_handler(request)
        self.advance()
        order = json.loads(request.body)
        if request.header('x-expected-instance') not in {'', self.name}:
            return json_response({}, 421)
        if order['fencing_token'] < self._fencing_token:
            return self._reject('fence')
        self._fencing_token = order['fencing_token']
        if request.path == '/v1/run-start':
            answer = self._start(order)
            await self._crash_if_requested(order)
            await self._schedule_crash(order)
            return answer
        if request.path == '/v1/run-stop':
            return self._stop(order)
        return await self._renew_and_poll(order)

    def advance(self) -> None:
        """End the tasks that are due: done, stopped, or with a lease that has expired."""
        now = time.monotonic()
        deadline = self._deadline + self._clock_zero
        for run in tuple(self._run_by_task.values()):
            lapsed = deadline < now and deadline < run.planned_end
            if run.planned_end > now and not lapsed:
                continue
            run.ended = min(run.planned_end, deadline) if lapsed else run.planned_end
            run.outcome = 'lapsed' if lapsed else run.outcome
            del self._run_by_task[run.task]
            self._unacknowledged_ends.append(
                [self._next_end_number, run.task, run.number, run.outcome, '']
            )
            self._next_end_number += 1

    @property
    def cpu(self) -> int:
        """Return the processors that the runner reports."""
        return self.capacity_changes[-1][1]

    def resize(self, cpu: int) -> None:
        """Change the number of processors; running tasks go on."""
        self.capacity_changes.append((time.monotonic(), cpu))

    def crash(self, *, is_dark: bool = False) -> None:
        """End all tasks without reporting it; ends that were not read yet are lost too.

        With ``is_dark`` the machine loses power: its connections stay open until the next process
        resets them one by one, when something is sent on them.
        """
        self.advance()
        for run in self._runs:
            if run.runner == self.name and run.task in {
                end[1] for end in self._unacknowledged_ends
            }:
                run.outcome = 'unread'
        for run in self._run_by_task.values():
            run.ended = time.monotonic()
            run.outcome = 'crashed'
        self._run_by_task.clear()
        self.is_down = True
        self.is_dark = is_dark
        self.reset_pending = not is_dark

    def restart(self, name: str = '') -> None:
        """Start again without tasks, fencing token or ends; all counters start anew.

        Without a ``name`` it is the next incarnation of its old name.
        """
        self.name = name or self.name
        self.started_at_ms = max(self.started_at_ms + 1, int(time.time() * MILLISECONDS_PER_SECOND))
        self._clock_zero = time.monotonic()
        self._fencing_token = 0
        self._deadline = 0.0
        self._highest_run_by_task.clear()
        self._unacknowledged_ends.clear()
        self._next_end_number = 1
        self.dark_restarts += self.is_dark
        self.is_dark = False
        self.is_down = False

    async def _crash_if_requested(self, order: dict) -> None:
        """Crash before the start is answered if the started task asks for it."""
        if 'crash' not in order['spec'].split() or order['task'] not in self._run_by_task:
            return
        await curio.sleep(CRASH_DELAY_SECONDS)
        await self._crash_and_restart()
        raise CloseConnection

    async def _schedule_crash(self, order: dict) -> None:
        """Crash some time after the answer if the started task asks for it."""
        for argument in order['spec'].split():
            name, _, seconds = argument.partition('=')
            run = self._run_by_task.get(order['task'])
            if name == 'crash-after' and run is not None and run.number == order['run']:
                await curio.spawn(self._crash_after, float(seconds), run, daemon=True)

    async def _crash_after(self, seconds: float, run: Run) -> None:
        await curio.sleep(seconds)
        if self._run_by_task.get(run.task) is run:
            await self._crash_and_restart()

    async def _crash_and_restart(self) -> None:
        if self.is_down:
            return
        self.crash()
        if self.on_crash is not None:
            await curio.spawn(self.on_crash, self, daemon=True)

    def _start(self, order: dict) -> Response:
        self._extend_lease(order['deadline_ms'])
        task, number = order['task'], order['run']
        known = self._run_by_task.get(task)
        if known is not None and known.number == number:
            return self._ok()
        if number <= self._highest_run_by_task.get(task, 0):
            return self._reject('old')
        if order['deadline_ms'] / MILLISECONDS_PER_SECOND < self.clock():
            return self._reject('late')
        if self._has_expired_ticket(order):
            return self._reject('ticket')
        arguments = order['spec'].split()
        used = sum(run.cpu for run in self._run_by_task.values())
        if self.rejects_excess_starts and used + int(arguments[0]) > self.cpu:
            return self._reject('room')
        now = time.monotonic()
        run = Run(task, number, self.name, int(arguments[0]), now, now + float(arguments[1]))
        run.outcome = 'failed' if 'fail' in arguments else 'done'
        self._run_by_task[task] = run
        self._highest_run_by_task[task] = number
        self._runs.append(run)
        return self._ok()

    def _has_expired_ticket(self, order: dict) -> bool:
        if self.ticket_seconds is None or 'ticket' not in order:
            return False
        issued_at = float(order['ticket'].rpartition('@')[2])
        return time.monotonic() - issued_at > self.ticket_seconds

    def _stop(self, order: dict) -> Response:
        task, number = order['task'], order['run']
        self._highest_run_by_task[task] = max(self._highest_run_by_task.get(task, 0), number)
        run = self._run_by_task.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            run.outcome = 'stopped'
            run.planned_end = min(run.planned_end, time.monotonic() + STOP_SECONDS)
        return self._ok()

    async def _renew_and_poll(self, order: dict) -> Response:
        self._unacknowledged_ends = [
            end for end in self._unacknowledged_ends if end[0] > order['acked_through']
        ]
        self._extend_lease(order.get('deadline_ms', 0))
        until = time.monotonic() + order.get('wait_ms', 0) / MILLISECONDS_PER_SECOND
        incarnation_started_ms = self.started_at_ms
        dark_restarts = self.dark_restarts
        while not self._unacknowledged_ends and time.monotonic() < until:
            await curio.sleep(POLL_SECONDS)
            if self.dark_restarts != dark_restarts or self.is_dark:
                # Nothing is sent on the connection of a poll that waits, so nothing resets it.
                await curio.Event().wait()
            if self.is_down or self.started_at_ms != incarnation_started_ms:
                # A crash breaks all connections: the next incarnation must not answer a poll
                # that was sent to this one.
                raise CloseConnection
            self.advance()
        running = [[run.task, run.number, '', 0, 0] for run in self._run_by_task.values()]
        body = {
            'clock_ms': self._clock_ms(),
            'running': running,
            'finished': self._unacknowledged_ends[:500],
        }
        if self.reports_incarnation:
            body['born'] = self.started_at_ms
        return json_response(body)

    def _extend_lease(self, deadline_ms: int) -> None:
        requested_deadline = min(
            deadline_ms / MILLISECONDS_PER_SECOND, self.clock() + MAX_LEASE_SECONDS
        )
        self._deadline = max(self._deadline, requested_deadline)

    def _clock_ms(self) -> int:
        return int(self.clock() * MILLISECONDS_PER_SECOND)

    def _ok(self) -> Response:
        return json_response({'clock_ms': self._clock_ms()})

    def _reject(self, reason: str) -> Response:
        self.rejections[reason] += 1
        return json_response({'clock_ms': self._clock_ms(), 'reason': reason}, 409)


class ResettableServer(Server):
    """A server that can close its connections, as if its process had ended."""

    #: The runner that it serves, if any.
    runner: PlatformRunner | None = None

    async def reset(self) -> None:
        """Close all connections; new ones are accepted."""
        await self._cancel_tasks()

    async def _serve_connection(self, connection: Any) -> None:
        connection.dark_restarts = self._count_dark_restarts()
        await super()._serve_connection(connection)

    async def _handle_request(self, request: Request) -> Response:
        connection: Any = self._connection_by_task[await curio.current_task()]
        if connection.dark_restarts != self._count_dark_restarts():
            raise CloseConnection
        return await super()._handle_request(request)

    def _count_dark_restarts(self) -> int:
        return self.runner.dark_restarts if self.runner else 0


async def _reset_connections(runner: PlatformRunner, server: ResettableServer) -> None:
    """Close the connections to a runner after each of its crashes."""
    while True:
        if runner.reset_pending:
            await server.reset()
            runner.reset_pending = False
        await curio.sleep(POLL_SECONDS)


class UsersPlatform:
    """Store, runners and policy service on one loopback address, in one thread."""

    def __init__(
        self,
        runners: int = 3,
        seed: int = 1,
        *,
        reports_incarnation: bool = False,
        zones: Sequence[str] = ('north',),
    ) -> None:
        """Prepare ``runners`` runners of the service ``desk``, in each of the zones in turn.

        If they report their incarnation, they keep their names after a restart.
        """
        self.store = PlatformStore(seed)
        self.quotas = QuotaHistory()
        self.runs: list[Run] = []
        self.runners = [
            PlatformRunner(f'i-{number}', self.runs, reports_incarnation=reports_incarnation)
            for number in range(runners)
        ]
        self.zones = tuple(zones)
        self.zone_by_runner = {
            runner: self.zones[number % len(self.zones)]
            for number, runner in enumerate(self.runners)
        }
        self.port_by_name: dict[str, int] = {}
        self.link_faults = LinkFaults({})
        self._original_name_by_runner: dict[PlatformRunner, str] = {}
        self._target_by_relay: dict[str, str] = {}
        self._restart_count = 0
        #: Has an entry for each name that a runner has had.
        self.capacity_changes_by_name: dict[str, list[CapacityChange]] = {}
        for runner in self.runners:
            runner.on_crash = self._restart_after_crash
        self._ready = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=curio.run, args=(self._serve,), daemon=True)

    def start(self) -> None:
        """Serve in a thread until ``stop``, and register the runners."""
        self._thread.start()
        self._ready.wait()
        for runner in self.runners:
            self.register(runner)

    def stop(self) -> None:
        """End the thread."""
        self._stop.set()
        self._thread.join()

    def register(self, runner: PlatformRunner, *, state: str = 'ready') -> None:
        """Write a runner's entry, with the port of its relay if it has one."""
        self.capacity_changes_by_name[runner.name] = runner.capacity_changes
        self.store.put('keyed.servers', runner.name, self.entry_of(runner, state))

    def entry_of(self, runner: PlatformRunner, state: str = 'ready') -> dict:
        """Return a runner's entry."""
        original_name = self._original_name_by_runner.setdefault(runner, runner.name)
        port = self.port_by_name.get(f'relay-{original_name}', self.port_by_name[original_name])
        incarnation_fields = {'born': runner.started_at_ms} if runner.reports_incarnation else {}
        return {
            **incarnation_fields,
            'service': 'desk',
            'address': f'127.0.0.1:{port}',
            'zone': self.zone_by_runner[runner],
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_left_ms': 0,
            'sequence': 1,
            'capacity': {'cpu': runner.cpu, 'mem_mb': 16384, 'gpu': 0},
            'labels': ['a', 'r-1'],
        }

    def make_other_writer(self, seed: str) -> OtherWriter:
        """Return a writer that, once started, writes broken entries to the runners' topic."""
        return OtherWriter(
            seed,
            lambda record: self.store.put_raw('keyed.servers', record),
            lambda: {runner.name: self.entry_of(runner) for runner in self.runners},
            self._write_heartbeats,
        )

    def add_relay(self, name: str, target: str) -> None:
        """Add a relay called ``name`` in front of a server; only before ``start``."""
        self._target_by_relay[name] = target

    def configure(self, version: int = 1, accounts: Sequence[AccountRow] | None = None) -> None:
        """Write a configuration with a plain queue and one that needs placement advice.

        Without ``accounts`` requests need no API key.
        """
        routes = []
        for number, name in enumerate(('plain', 'advised')):
            route = {
                'name': name,
                'host': 'desk.example',
                'path_prefix': f'/{name}/',
                'service': 'desk',
                'target_latency_ms': 250,
                'priority': number,
                'max_attempts': 2,
                'slack_factor': 2.0,
            }
            if name == 'advised':
                route['advice'] = {'decision_ms': 5, 'period_ms': 0.1, 'valid_ms': 2000}
            routes.append(route)
        services = [{'name': 'desk', 'enforces_capacity': False}]
        document = {'version': version, 'routes': routes, 'services': services, 'limits': {}}
        if accounts is not None:
            document['tenants'] = [row.encode() for row in accounts]
            self.quotas.add_configuration(time.monotonic(), accounts)
        self.store.put('keyed.op', 'config', document)

    def collect_runs(self) -> list[Run]:
        """End the tasks that are due on every runner, and return all runs."""
        for runner in self.runners:
            runner.advance()
        return list(self.runs)

    def lose_zone(self, zone: str) -> float:
        """Crash all runners of a zone, remove their entries, and return the monotonic time."""
        lost_at = time.monotonic()
        for runner in self.runners:
            if self.zone_by_runner[runner] != zone:
                continue
            runner.crash()
            self.store.put('keyed.servers', runner.name, None)
        return lost_at

    async def _restart_after_crash(self, runner: PlatformRunner) -> None:
        """Restart a crashed runner, and remove its old entry if its name changes."""
        await curio.sleep(RESTART_SECONDS)
        if runner.reports_incarnation:
            runner.restart()
            self.register(runner)
            return
        previous_name = runner.name
        self._restart_count += 1
        runner.restart(f'{previous_name.split("+")[0]}+{self._restart_count}')
        self.register(runner)
        self.store.put('keyed.servers', previous_name, None)

    def _write_heartbeats(self) -> None:
        for runner in self.runners:
            if not runner.is_down:
                self.register(runner)

    async def _serve(self) -> None:
        async with AsyncExitStack() as stack:
            await self._listen(stack, 'store', self.store.handle)
            await self._listen(stack, 'advice', self._advise)
            for runner in self.runners:
                server = await self._listen(stack, runner.name, runner.handle)
                server.runner = runner
                await start_task(stack, _reset_connections, runner, server)
            for name, target in self._target_by_relay.items():
                await self._listen_relay(stack, name, target)
            self._ready.set()
            while not self._stop.is_set():
                await curio.sleep(0.05)

    async def _listen(
        self, stack: AsyncExitStack, name: str, handler: object
    ) -> 'ResettableServer':
        server = ResettableServer(handler, SERVER_LIMITS)
        await server.start(stack, '127.0.0.1', 0)
        self.port_by_name[name] = server.port
        return server

    async def _listen_relay(self, stack: AsyncExitStack, name: str, target: str) -> None:
        with socket.socket() as free:
            free.bind(('127.0.0.1', 0))
            port = free.getsockname()[1]
        target_address = ('127.0.0.1', self.port_by_name[target])
        await Relay(self.link_faults, name, ('127.0.0.1', port), target_address).start(stack)
        self.port_by_name[name] = port

    async def _advise(self, request: Request) -> Response:
        workers = json.loads(request.body)['workers']
        await curio.sleep(0.005)
        now = time.monotonic()
        return json_response({'allowed': [[worker, f't-{worker}@{now}'] for worker in workers]})
