"""A small deployment on loopback for the cases of this review.

Entry hosts are real processes, started by the command of the deploy file. The platform is the
project's own stand-in, whose runners are registered here in several zones and keep their entries
alive by heartbeats, as the users' pages say.
"""

import json
import logging
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from tempfile import TemporaryDirectory

from standins import UsersPlatform
from standins._relay import ANY_NAME, Cut, Cuts

ROOT = Path(__file__).resolve().parent.parent
ZONES = ('hall-a', 'hall-b', 'hall-c')
HEARTBEAT_SECONDS = 1.5
#: Heartbeats of silence after which the entry of a runner is removed.
MISSED_HEARTBEATS = 3
RUNNERS_PER_RACK = 8
#: Seconds that a client waits for a response, and pauses before it tries again.
CALL_SECONDS = 3.0
RETRY_SECONDS = 0.3
MAX_TRIES = 20
POLL_SECONDS = 0.05
READY_SECONDS = 30.0
#: Seconds from the readiness of the hosts to the first job.
SETTLE_SECONDS = 2.0
MILLISECONDS = 1000
HTTP_OK = 200
#: Port on which a host shows its metrics, on its own address.
METRICS_PORT = 9464
FIRST_PORTS = (20_000, 32_000)
SECOND_BYTES = (20, 250)
THIRD_BYTES = (1, 250)
ADDRESS_TRIES = 100
#: Exit statuses of ``case.py``, of which ``run.sh`` makes its own: an exception that nobody
#: handles has status 1, and must not count as a broken rule.
HELD = 0
BROKEN = 10
CANNOT_RUN = 2
#: Whether the case brings its disruption about.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SETTINGS = """\
node = "{name}"
role = "entry"
machine_class = "frontend"
serves = ["frontend", "control_plane"]
ip = "{address}"
zone = "{zone}"
region = "jm-south"
port_range = [{peers}, {last}]
seeds = {seeds}
bootstrap = {bootstrap}
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice"]
control_mode = "invocation"
advice = "127.0.0.1:{advice}"
[zones]
hall-a = "jm-south"
hall-b = "jm-south"
hall-c = "jm-south"
[listen]
frontend = "{address}:{clients}"
readiness = "{address}:{readiness}"
control = "{address}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 10000
stop_timeout_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
status_s = 120
[platform]
address = "127.0.0.1:{store}"
form = "log"
keep_s = 20
record_bytes = 262144
request_bytes = 2097152
"""


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """The record of a case: what was sent, answered and run, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        """Write to the file at ``path``."""
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def add(self, line: str, at: float | None = None) -> None:
        """Add a line for what happened now, or ``at`` a monotonic time."""
        seconds = (time.monotonic() if at is None else at) - self._started_at
        self._file.write(f'{seconds:8.3f} {line}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Platform(UsersPlatform):
    """The stand-in with runners in three zones, heartbeats, and entries that expire."""

    def __init__(self, runners: int, record: Record) -> None:
        """Prepare ``runners`` runners."""
        super().__init__(runners)
        self.record = record
        self._zone_by_runner = {
            runner: ZONES[number % len(ZONES)] for number, runner in enumerate(self.runners)
        }
        self._rack_by_runner = {
            runner: f'r-{number // RUNNERS_PER_RACK}' for number, runner in enumerate(self.runners)
        }
        self._sequence = 0
        self._entry_by_runner: dict = {}
        self._ended = threading.Event()
        self._heartbeats = threading.Thread(target=self._run_heartbeats, daemon=True)

    def add_store_links(self, names: list[str]) -> None:
        """Give each of these hosts a link of its own to the store; only before ``start``."""
        for name in names:
            self.add_relay(f'store-{name}', 'store')

    def cut_answers_of_store(self, name: str) -> None:
        """Drop what the store sends to a host; what the host sends arrives."""
        self.link_faults.replace(Cuts((Cut(f'store-{name}', ANY_NAME),)))
        self.record.add(f'the path from the store to {name} is cut')

    def heal_links(self) -> None:
        """End all cuts."""
        self.link_faults.replace(Cuts())
        self.record.add('the cut heals')

    def last_conditional_writer(self) -> str:
        """Return the host that last wrote the record of the cell's owner."""
        for record in reversed(self.store._topic('keyed.cell').records):
            if record[1 : 1 + record[0]] == b'owner':
                return json.loads(record[1 + record[0] :])['host']
        raise CannotRunError('the cell has no owner')

    def start(self) -> None:
        """Serve, and write heartbeats."""
        super().start()
        self._heartbeats.start()

    def stop(self) -> None:
        """End both threads."""
        self._ended.set()
        self._heartbeats.join()
        super().stop()

    def runners_in(self, zone: str) -> list:
        """Return the runners of a zone."""
        return [runner for runner in self.runners if self._zone_by_runner[runner] == zone]

    def entry_of(self, runner, state: str = 'ready') -> dict:
        """Return a runner's entry, with its zone, its rack and the next sequence number."""
        self._sequence += 1
        return {
            **super().entry_of(runner, state),
            'zone': self._zone_by_runner[runner],
            'labels': ['a', self._rack_by_runner[runner]],
            'sequence': self._sequence,
        }

    def _run_heartbeats(self) -> None:
        """Write each living runner's entry; remove that of a runner that stays silent."""
        while not self._ended.wait(HEARTBEAT_SECONDS):
            if self.store.faults.down:
                continue
            for runner in self.runners:
                self._write_heartbeat(runner)

    def _write_heartbeat(self, runner) -> None:
        name, seen_at = self._entry_by_runner.get(runner, ('', 0.0))
        now = time.monotonic()
        if not runner.is_down:
            self.register(runner)
            self._entry_by_runner[runner] = (runner.name, now)
        elif name and now - seen_at > MISSED_HEARTBEATS * HEARTBEAT_SECONDS:
            self.store.put('keyed.servers', name, None)
            self._entry_by_runner.pop(runner)


class Hosts:
    """Entry hosts as processes, each on a loopback address of its own."""

    def __init__(self, platform: Platform, count: int, record: Record) -> None:
        """Prepare ``count`` hosts in the three zones, on free addresses and ports."""
        self._platform = platform
        self._record = record
        self._folder = TemporaryDirectory()
        self.names = [f'entry-{number}' for number in range(1, count + 1)]
        self._zone_by_name = {
            name: ZONES[number % len(ZONES)] for number, name in enumerate(self.names)
        }
        addresses = _find_free_addresses(self.names)
        self._address_by_name = addresses.address_by_name
        self._first_port = addresses.first_port
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.started_at_by_name: dict[str, float] = {}
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text(encoding='utf-8'))
        self._command = shlex.split(deploy['roles']['entry']['run'])

    def start(self, name: str, *, bootstrap: bool = False) -> None:
        """Start a host by the command of the deploy file."""
        folder = Path(self._folder.name)
        settings = folder / f'{name}.toml'
        settings.write_text(self._make_settings(name, bootstrap=bootstrap), encoding='utf-8')
        with (folder / f'{name}.log').open('ab') as log:
            self.process_by_name[name] = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'DANDELIONREEL_NODE_FILE': str(settings),
                },
                stdout=log,
                stderr=log,
            )
        self.started_at_by_name[name] = time.monotonic()
        self._record.add(f'{name} is started')

    def start_all(self, *, bootstrap: bool = False) -> None:
        """Start all hosts."""
        for name in self.names:
            self.start(name, bootstrap=bootstrap)

    def wait_ready(self) -> None:
        """Wait until all hosts are ready."""
        if not wait_for(lambda: all(self._is_ready(name) for name in self.names), READY_SECONDS):
            raise CannotRunError('the hosts were not ready in time')

    def kill(self, names: list[str]) -> None:
        """Kill hosts at once."""
        for name in names:
            self.process_by_name[name].send_signal(signal.SIGKILL)
        for killed in names:
            self.process_by_name[killed].wait()
        self._record.add(f'{", ".join(names)}: killed')

    def request(
        self, name: str, method: str, path: str, body: object = None, key: str = ''
    ) -> tuple[int, dict]:
        """Send a client's request; return the status, 0 for no answer, and the body."""
        connection = HTTPConnection(
            self._address_by_name[name], self._first_port, timeout=CALL_SECONDS + 1
        )
        headers = {'Host': 'desk.example', 'X-Deadline-Ms': str(int(CALL_SECONDS * MILLISECONDS))}
        if key:
            headers['Authorization'] = f'Bearer {key}'
        try:
            connection.request(method, path, json.dumps(body) if body else None, headers)
            answer = connection.getresponse()
            content = answer.read()
        except (OSError, HTTPException):
            self._record.add(f'client: {method} {path} at {name}: no answer')
            return 0, {}
        finally:
            connection.close()
        decoded = json.loads(content) if content else {}
        self._record.add(f'client: {method} {path} at {name}: {answer.status} {decoded}')
        return answer.status, decoded

    def submit(self, path: str, body: dict) -> None:
        """Submit a job as a client does: with retries under the same id, at any host."""
        for _ in range(MAX_TRIES):
            if self.request(random.choice(self.names), 'POST', path, body)[0] == HTTP_OK:
                return
            time.sleep(RETRY_SECONDS)
        raise CannotRunError(f'no host accepts {path}')

    def names_in(self, zone: str) -> list[str]:
        """Return the hosts of a zone."""
        return [name for name, found in self._zone_by_name.items() if found == zone]

    def state_of(self, path: str) -> str:
        """Return the state of a job as any host shows it, empty without one."""
        return self.request(random.choice(self.names), 'GET', path)[1].get('state', '')

    def close(self) -> None:
        """Kill all hosts that were started, and keep their logs beside the record if asked."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            for log in Path(self._folder.name).glob('*.log'):
                (Path(kept) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()

    def _make_settings(self, name: str, *, bootstrap: bool) -> str:
        ports = self._platform.port_by_name
        addresses = list(self._address_by_name.values())
        return SETTINGS.format(
            name=name,
            address=self._address_by_name[name],
            zone=self._zone_by_name[name],
            clients=self._first_port,
            readiness=self._first_port + 1,
            control=self._first_port + 2,
            peers=self._first_port + 3,
            last=self._first_port + 4,
            seeds=json.dumps([f'{address}:{self._first_port + 2}' for address in addresses[:3]]),
            bootstrap=str(bootstrap).lower(),
            advice=ports['advice'],
            store=ports.get(f'store-{name}', ports['store']),
        )

    def _is_ready(self, name: str) -> bool:
        connection = HTTPConnection(self._address_by_name[name], self._first_port + 1, timeout=2)
        try:
            connection.request('GET', '/v1/readyz')
            return connection.getresponse().status == HTTP_OK
        except OSError:
            return False
        finally:
            connection.close()


def wait_for(condition, seconds: float) -> bool:
    """Wait until ``condition()`` holds; return whether it did in time."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(POLL_SECONDS)
    return True


@dataclass(frozen=True)
class Deployment:
    """The platform, the hosts and the record of a case."""

    record: Record
    platform: Platform
    hosts: Hosts

    def start(self) -> None:
        """Start all hosts for the first time."""
        self.hosts.start_all(bootstrap=True)
        self.hosts.wait_ready()
        time.sleep(SETTLE_SECONDS)

    def submit_jobs(self, queue: str, count: int, step: dict, seconds: float) -> list[str]:
        """Submit jobs of one step, whose tasks take some seconds each; return their paths."""
        paths = [f'/{queue}/{number:016x}' for number in range(1, count + 1)]
        body = {
            'spec': f'{step["cpu"]} {seconds}',
            'steps': [{**step, 'estimate_ms': int(seconds * MILLISECONDS)}],
        }
        for path in paths:
            self.hosts.submit(path, body)
        if not wait_for(lambda: len(self.jobs_begun()) == count, READY_SECONDS):
            raise CannotRunError('not all jobs have begun')
        return paths

    def jobs_begun(self) -> set[str]:
        """Return the ids of the jobs of which a task has begun."""
        return {job_of(run.task) for run in self.platform.collect_runs()}

    def add_runs(self) -> None:
        """Add all runs, as the runners have recorded them, to the record."""
        for run in self.platform.collect_runs():
            where = f'runner {run.runner}'
            self.record.add(f'{where}: begins {run.task}, run {run.number}', run.began)
            if run.ended is not None:
                self.record.add(f'{where}: ends {run.task}: {run.outcome}', run.ended)


def job_of(task: str) -> str:
    """Return the id of a task's job."""
    return task.partition('.')[0]


def id_of(path: str) -> str:
    """Return the id of the job at a path."""
    return path.rpartition('/')[2]


def run_case(
    folder: Path,
    hosts: int,
    runners: int,
    play: Callable[[Deployment], list[str]],
    *,
    store_links: bool = False,
) -> None:
    """Play a case and exit with its status; ``play`` returns the breaks of the rule.

    With ``store_links``, each host has a link of its own to the store, which can be cut.
    """
    # A case that takes too long ends by SIGTERM, and has to end its processes as well.
    signal.signal(signal.SIGTERM, _exit_on_signal)
    # The relays of the stand-in poll; that a poll ends some microseconds late is no news.
    logging.getLogger('curio').setLevel(logging.ERROR)
    with ExitStack() as stack:
        record = Record(folder / 'record.txt')
        stack.callback(record.close)
        platform = Platform(runners, record)
        if store_links:
            platform.add_store_links([f'entry-{number}' for number in range(1, hosts + 1)])
        platform.start()
        stack.callback(platform.stop)
        entry_hosts = Hosts(platform, hosts, record)
        stack.callback(entry_hosts.close)
        status = _play(Deployment(record, platform, entry_hosts), play)
    sys.exit(status)


def _exit_on_signal(number: int, _frame: object) -> None:
    sys.exit(CANNOT_RUN)


def _play(deployment: Deployment, play: Callable[[Deployment], list[str]]) -> int:
    try:
        broken = play(deployment)
    except CannotRunError as error:
        deployment.record.add(f'the case could not run: {error}')
        return CANNOT_RUN
    deployment.add_runs()
    for line in broken:
        deployment.record.add(line)
    return BROKEN if broken else HELD


@dataclass(frozen=True)
class _Addresses:
    """A loopback address for each host, and the first of five ports that are free on all."""

    address_by_name: dict[str, str]
    first_port: int


def _find_free_addresses(names: list[str]) -> _Addresses:
    for _ in range(ADDRESS_TRIES):
        block = f'127.{random.randint(*SECOND_BYTES)}.{random.randint(*THIRD_BYTES)}'
        address_by_name = {name: f'{block}.{number}' for number, name in enumerate(names, 1)}
        first = random.randint(*FIRST_PORTS)
        ports = (*range(first, first + 5), METRICS_PORT)
        if all(_is_free(address, port) for address in address_by_name.values() for port in ports):
            return _Addresses(address_by_name, first)
    raise CannotRunError('no free loopback addresses')


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True
