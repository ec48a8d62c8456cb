"""Starts daemons and stand-ins as real processes on loopback, for tests and benches."""

import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import msgspec

from dandelionreel.backing import HostEntry, Resources
from dandelionreel.kernel import Endpoint
from standins._plan import Plan, RelayPlan

#: Loopback subnet derived from the process id, so that cells started by parallel
#: processes don't compete for ports.
SUBNET = f'127.{64 + os.getpid() // 256 % 64}.{os.getpid() % 256}'
LOOPBACK = f'{SUBNET}.1'
FIRST_DAEMON_ADDRESS = 10
ADDRESSES_PER_ZONE = 20
READY_SECONDS = 20.0
POLL_SECONDS = 0.05
OWNERSHIP_STABLE_SECONDS = 0.7
HTTP_TIMEOUT = 30.0
MAX_RUN_SECONDS = 3600.0
PR_SET_PDEATHSIG = 1

#: Shorter than in production, so that tests end soon; the ratios are the same.
FAST_TIMINGS = {
    'authority': 1.5,
    'heartbeat': 0.3,
    'far_heartbeat': 0.6,
    'silent_after': 1.0,
    'start_deadline': 0.6,
    'socket_timeout': 0.5,
    'log_wait': 0.5,
    'log_timeout': 1.0,
    'hosts_poll': 0.4,
    'lease': 6.0,
    'longest_run': 6.0,
    'contract_deadline': 5.0,
    'drain_balancer_lag': 0.3,
    'drain_limit': 15.0,
}


@dataclass(frozen=True)
class Layout:
    """Size and settings of a test cell; ``has_relays`` lets tests cut the links of daemons."""

    zones: tuple[str, ...] = ('ub-east', 'ub-west')
    daemons: int = 1
    workers: int = 2
    endpoints: int = 2
    service: str = 'booking'
    slots: int = 8
    capacity: Resources = Resources(32, 65_536, 0)
    has_relays: bool = False
    seconds: float = 600.0
    timings: dict[str, float] = field(default_factory=lambda: dict(FAST_TIMINGS))
    logs: dict[str, Any] = field(default_factory=dict)
    limits: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Reply:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass
class DaemonProcess:
    """A daemon, its addresses and files, and its process once it was started."""

    name: str
    zone: str
    address: str
    caller_port: int
    admin_port: int
    peer_port: int
    settings: Path
    log: Path
    process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None


class Ports:
    """Allocates free ports, each only once in this process."""

    _allocated: set[int] = set()

    def allocate(self, address: str = LOOPBACK) -> int:
        """Return a port that is free now."""
        while True:
            with socket.socket() as probe:
                probe.bind((address, 0))
                port = probe.getsockname()[1]
            if port not in self._allocated:
                self._allocated.add(port)
                return port


class Cluster:
    """A cell of real processes on loopback; leaving the ``with`` block ends them."""

    def __init__(self, layout: Layout) -> None:
        """Allocate ports and write the settings files; start nothing yet."""
        self.layout = layout
        self._stack = ExitStack()
        self._ports = Ports()
        self._directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.address = LOOPBACK
        self.log_port = self._ports.allocate()
        self.hosts_port = self._ports.allocate()
        self.control_port = self._ports.allocate()
        self.daemons: dict[str, DaemonProcess] = {}
        self.hosts: list[HostEntry] = []
        self._relays: list[RelayPlan] = []
        self._name_by_address: dict[str, str] = {}
        self._standins: subprocess.Popen | None = None
        for index, zone in enumerate(layout.zones):
            self._plan_zone(index, zone)

    def __enter__(self) -> 'Cluster':
        """Start everything and wait until all daemons are ready."""
        self.start_standins()
        for daemon in self.daemons.values():
            self.start(daemon.name)
        for daemon in self.daemons.values():
            self.wait_ready(daemon.name)
        self.wait_ownership_stable()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill all processes that this object started."""
        for daemon in self.daemons.values():
            self.kill(daemon.name)
        if self._standins is not None:
            self._standins.kill()
            self._standins.wait()
        self._stack.close()

    # Processes.

    def start_standins(self) -> None:
        """Start the stand-ins and wait until they listen."""
        plan = Plan(
            LOOPBACK,
            self.log_port,
            self.hosts_port,
            self.control_port,
            tuple(self.hosts),
            tuple(self._relays),
            self._name_by_address,
            MAX_RUN_SECONDS,
        )
        path = self._directory / 'plan.json'
        path.write_bytes(msgspec.json.encode(plan))
        self._standins = subprocess.Popen(
            [sys.executable, '-m', 'standins', str(path)],
            stdout=subprocess.PIPE,
            preexec_fn=_kill_with_parent,
            cwd=Path(__file__).parent.parent,
        )
        line = self._standins.stdout.readline()
        if line.strip() != b'ready':
            raise RuntimeError('the stand-ins did not start')

    def start(self, name: str) -> None:
        """Start a daemon."""
        daemon = self.daemons[name]
        with daemon.log.open('ab') as log:
            daemon.process = subprocess.Popen(
                [
                    sys.executable,
                    '-c',
                    'import sys; from dandelionreel.cli import main_daemon; '
                    'sys.exit(main_daemon())',
                    '--settings',
                    str(daemon.settings),
                ],
                stderr=log,
                preexec_fn=_kill_with_parent,
                cwd=Path(__file__).parent.parent,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        daemon = self.daemons[name]
        if daemon.is_running:
            os.kill(daemon.process.pid, number)

    def kill(self, name: str) -> None:
        """Kill a daemon, even one that is paused."""
        daemon = self.daemons[name]
        if daemon.process is None:
            return
        if daemon.is_running:
            daemon.process.send_signal(signal.SIGCONT)
            daemon.process.kill()
        daemon.process.wait()

    def wait_ready(self, name: str) -> None:
        """Wait until a daemon reports that it is ready and a member of the cell."""
        daemon = self.daemons[name]
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            if not daemon.is_running:
                raise RuntimeError(f'{name} exited: {self.log_of(name)[-2000:]}')
            reply = self.try_get(daemon, '/v1/status')
            if reply is not None and reply.status == 200:
                status = reply.json()
                if status['ready'] and status['is_member']:
                    return
            time.sleep(POLL_SECONDS)
        raise RuntimeError(f'{name} did not become ready: {self.log_of(name)[-2000:]}')

    def wait_ownership_stable(self) -> None:
        """Wait until shard ownership is stable, so that scenarios start from a fixed state."""
        until = time.monotonic() + READY_SECONDS
        previous_owners: list[Any] = []
        while time.monotonic() < until:
            time.sleep(OWNERSHIP_STABLE_SECONDS)
            owners = [self.owners_in(zone) for zone in self.layout.zones]
            if owners == previous_owners and all(owners):
                return
            previous_owners = owners
        raise RuntimeError('shard ownership did not become stable')

    def owners_in(self, zone: str) -> list[tuple[str, str]]:
        """Return each shard and its owner, or nothing while a shard is missing or released."""
        name = next(daemon.name for daemon in self.daemons.values() if daemon.zone == zone)
        shards = self.request_as_operator(name, 'GET', '/v1/shards').json()
        expected = self.layout.workers + self.layout.endpoints + 1
        if len(shards) != expected or any(shard['released'] for shard in shards):
            return []
        return [(shard['shard'], shard['owner']) for shard in shards]

    def log_of(self, name: str) -> str:
        """Return what a daemon has logged so far."""
        return self.daemons[name].log.read_text()

    # Requests.

    def try_get(self, daemon: DaemonProcess, path: str) -> Reply | None:
        """Send a GET request to the admin port; return ``None`` if there is no answer."""
        try:
            return exchange(daemon.address, daemon.admin_port, 'GET', path, timeout=2)
        except OSError:
            return None

    def request_as_operator(self, name: str, method: str, path: str, body: Any = None) -> Reply:
        """Send a request to a daemon's admin port."""
        daemon = self.daemons[name]
        return exchange(daemon.address, daemon.admin_port, method, path, body)

    def request_as_caller(
        self,
        name: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: float = HTTP_TIMEOUT,
    ) -> Reply:
        """Send a request to the port that a daemon serves callers on."""
        daemon = self.daemons[name]
        return exchange(daemon.address, daemon.caller_port, method, path, body, headers, timeout)

    def publish(self, contract: dict[str, Any], replaces: int = 0, name: str = '') -> Reply:
        """Publish a contract through the named daemon, or through the first one."""
        name = name or next(iter(self.daemons))
        path = f'/v1/contracts/{contract["customer"]}'
        body = {'contract': contract, 'replaces': replaces, 'author': 'operator'}
        return self.request_as_operator(name, 'POST', path, body)

    def submit(self, name: str, job: dict[str, Any], key: str = '') -> Reply:
        """Submit a job."""
        headers = {'idempotency-key': key} if key else {}
        return self.request_as_caller(name, 'POST', '/v1/jobs', job, headers)

    # Faults and records.

    def set_log_faults(self, **faults: Any) -> None:
        """Replace the faults of the log stand-in."""
        exchange(LOOPBACK, self.log_port, 'POST', '/control/faults', faults)

    def set_host_faults(self, host: str, **faults: Any) -> None:
        """Replace the faults of the stand-in of a worker or an endpoint."""
        entry = self.host(host)
        exchange(entry.address, entry.port, 'POST', '/control/faults', faults)

    def truncate_log(self, stream: str, first: int | None = None) -> None:
        """Drop the records of a stream before the offset ``first``, or all of them."""
        query = f'stream={stream}'
        if first is not None:
            query = f'{query}&first={first}'
        exchange(LOOPBACK, self.log_port, 'POST', f'/control/truncate?{query}')

    def cut(self, *pairs: tuple[str, str], closed: tuple[str, ...] = ()) -> None:
        """Replace all cuts: drop the bytes from the first to the second name of each pair.

        Relays of the ``closed`` targets refuse connections.
        """
        cuts = [{'source': source, 'target': target} for source, target in pairs]
        body = {'cuts': cuts, 'closed': list(closed)}
        exchange(LOOPBACK, self.control_port, 'POST', '/control/cuts', body)

    def replace_hosts(self, hosts: list[HostEntry]) -> None:
        """Replace the platform's list of hosts."""
        body = msgspec.to_builtins({'hosts': hosts})
        exchange(LOOPBACK, self.hosts_port, 'POST', '/control/hosts', body)

    def set_other_entries(self, *entries: bytes) -> None:
        """Replace the raw entries that another writer has added to the list of hosts."""
        body = b'\n'.join(entries)
        exchange(LOOPBACK, self.hosts_port, 'POST', '/control/other-entries', body)

    def host(self, name: str) -> HostEntry:
        """Return the host with this name."""
        return next(entry for entry in self.hosts if entry.name == name)

    def record(self, host: str) -> dict[str, Any]:
        """Return what the stand-in of a worker or an endpoint has recorded."""
        entry = self.host(host)
        return exchange(entry.address, entry.port, 'GET', '/control/record').json()

    def records(self, kind: str) -> list[dict[str, Any]]:
        """Return the records of all workers or endpoints."""
        return [self.record(entry.name) for entry in self.hosts if entry.kind == kind]

    def runs(self, job: str = '') -> list[dict[str, Any]]:
        """Return all starts of tasks on all workers, of one job or of all."""
        found = [run for record in self.records('worker') for run in record['runs']]
        return [run for run in found if job in {'', run['job']}]

    # Layout.

    def _plan_zone(self, index: int, zone: str) -> None:
        layout = self.layout
        for number in range(layout.workers):
            self.hosts.append(
                HostEntry(
                    f'{zone}-w{number}',
                    'worker',
                    zone,
                    LOOPBACK,
                    self._ports.allocate(),
                    rack=f'{zone}-rack{number // 6}',
                    capacity=layout.capacity,
                ),
            )
        for number in range(layout.endpoints):
            self.hosts.append(
                HostEntry(
                    f'{zone}-e{number}',
                    'endpoint',
                    zone,
                    LOOPBACK,
                    self._ports.allocate(),
                    service=layout.service,
                    slots=layout.slots,
                    connections=64,
                ),
            )
        for number in range(layout.daemons):
            self._plan_daemon(index, zone, number)

    def _plan_daemon(self, index: int, zone: str, number: int) -> None:
        name = f'{zone}-d{number}'
        address = f'{SUBNET}.{FIRST_DAEMON_ADDRESS + index * ADDRESSES_PER_ZONE + number}'
        self._name_by_address[address] = name
        peer_port = self._ports.allocate(address)
        advertised_port = peer_port
        log_port, hosts_port = self.log_port, self.hosts_port
        if self.layout.has_relays:
            advertised_port = self._add_relay(name, address, peer_port)
            log_port = self._add_relay('log', LOOPBACK, self.log_port)
        daemon = DaemonProcess(
            name,
            zone,
            address,
            self._ports.allocate(address),
            self._ports.allocate(address),
            peer_port,
            self._directory / f'{name}.json',
            self._directory / f'{name}.log',
        )
        self.daemons[name] = daemon
        self.hosts.append(HostEntry(name, 'entry', zone, address, advertised_port))
        settings = {
            'host': name,
            'availability_zone': zone,
            'availability_zones': list(self.layout.zones),
            'callers': _endpoint(address, daemon.caller_port),
            'admin': _endpoint(address, daemon.admin_port),
            'peers': _endpoint(address, peer_port),
            'peers_advertised': _endpoint(address, advertised_port),
            'source_address': address,
            'platform': {
                'log': _endpoint(LOOPBACK, log_port),
                'hosts': _endpoint(LOOPBACK, hosts_port),
            },
            'timings': self.layout.timings,
            'logs': self.layout.logs,
            'limits': self.layout.limits,
        }
        daemon.settings.write_text(json.dumps(settings))

    def _add_relay(self, target: str, address: str, port: int) -> int:
        listen_port = self._ports.allocate(address)
        self._relays.append(RelayPlan(target, address, listen_port, address, port))
        return listen_port


def _kill_with_parent() -> None:
    """Have the kernel kill this process when the test process ends, even if that is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _endpoint(address: str, port: int) -> dict[str, Any]:
    return msgspec.to_builtins(Endpoint(address, port))


def exchange(
    address: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = HTTP_TIMEOUT,
) -> Reply:
    """Make one HTTP request; a body that is not bytes is sent as JSON."""
    payload = body
    if body is not None and not isinstance(body, bytes):
        payload = json.dumps(body).encode()
    connection = HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, payload, headers or {})
        answer = connection.getresponse()
        header_by_name = {name.lower(): text for name, text in answer.getheaders()}
        return Reply(answer.status, header_by_name, answer.read())
    finally:
        connection.close()


def wait_until(condition: Any, seconds: float = 15.0, pause: float = POLL_SECONDS) -> bool:
    """Return whether ``condition()`` becomes true within ``seconds``."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(pause)
    return bool(condition())
