"""Starts entry hosts as the deploy file does, and sends them the calls of clients."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from tempfile import TemporaryDirectory

from review.platform_fleet import ZONES, PlatformFleet

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = """\
node = "{name}"
role = "entry"
machine_class = "frontend"
serves = ["frontend","control_plane"]
ip = "{address}"
zone = "{zone}"
region = "ulaanbaatar"
port_range = [{peers}, {last}]
seeds = {seeds}
bootstrap = true
discovery = "platform"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
control_mode = "invocation"
[listen]
frontend = "{address}:{front}"
readiness = "{address}:{readiness}"
control = "{address}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
grace_s = 6
max_hold_ms = 10000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "127.0.0.1:{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
record_bytes = 262144
request_bytes = 2097152
"""
#: Where the hosts listen: the same ports on each loopback address, as on machines.
PORT_COUNT = 20
LOWEST_PORT = 11_000
PORT_BLOCKS = 1000
FIRST_BLOCK = 20
BLOCK_COUNT = 200
METRICS_PORT = 9464
CALL_SECONDS = 3.0
READY_SECONDS = 8.0
POLL_SECONDS = 0.05
MILLISECONDS = 1000
HTTP_OK = 200
#: Exit statuses of a case.
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


@dataclass
class Record:
    """What was sent, answered and run; written to ``record.txt`` at the end."""

    folder: Path
    began: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        line = f'{time.monotonic() - self.began:8.2f}  {text}'
        self.lines.append(line)
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()

    def write(self) -> None:
        """Write the file."""
        (self.folder / 'record.txt').write_text('\n'.join((*self.lines, '')))


class SmallDeployment:
    """Entry hosts on loopback addresses, one in each zone."""

    def __init__(self, fleet: PlatformFleet, count: int = 4) -> None:
        """Prepare ``count`` hosts beside the platform's stand-in."""
        self.names = [f'frontend-{ZONES[number % len(ZONES)]}-1' for number in range(count)]
        self._fleet = fleet
        self._folder = TemporaryDirectory()
        block = FIRST_BLOCK + os.getpid() % BLOCK_COUNT
        self._address_by_name = {
            name: f'127.{block}.7.{number}' for number, name in enumerate(self.names, 1)
        }
        self._first_port = self._find_free_ports()
        self._process_by_name: dict[str, subprocess.Popen] = {}

    def start(self) -> None:
        """Start all hosts and wait until they are ready; raises ``TimeoutError``."""
        for name in self.names:
            self.start_host(name)
        until = time.monotonic() + READY_SECONDS
        while not all(self._is_ready(name) for name in self.names):
            if time.monotonic() > until:
                raise TimeoutError('the hosts did not become ready')
            time.sleep(POLL_SECONDS)

    def start_host(self, name: str) -> None:
        """Start one host, with the command of the deploy file."""
        address, folder = self._address_by_name[name], Path(self._folder.name)
        settings = folder / f'{name}.toml'
        seeds = [f'{seed}:{self._first_port + 2}' for seed in self._address_by_name.values()]
        settings.write_text(
            SETTINGS.format(
                name=name,
                address=address,
                zone=name.removeprefix('frontend-').removesuffix('-1'),
                peers=self._first_port + 4,
                last=self._first_port + PORT_COUNT - 1,
                seeds=json.dumps(seeds[:3]),
                front=self._first_port,
                readiness=self._first_port + 1,
                control=self._first_port + 2,
                store=self._fleet.store.port,
            )
        )
        with (folder / f'{name}.log').open('ab') as log:
            self._process_by_name[name] = subprocess.Popen(
                ['python3', '-m', 'dandelionreel'],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/tmp'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'DANDELIONREEL_NODE_FILE': str(settings),
                },
                stdout=log,
                stderr=log,
            )

    def kill(self, name: str) -> None:
        """Kill a host that this case has started."""
        self._process_by_name[name].send_signal(signal.SIGKILL)
        self._process_by_name[name].wait()

    def stop(self) -> None:
        """Kill all hosts and delete their files."""
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()

    def log_lines(self, name: str) -> list[dict]:
        """Return the lines that a host has logged."""
        text = (Path(self._folder.name) / f'{name}.log').read_text(errors='replace')
        # The last line may be incomplete.
        return [json.loads(line) for line in text.split('\n')[:-1] if line.startswith('{')]

    def owners(self) -> list[tuple[int, str]]:
        """Return the epochs and hosts that have logged that they own the cell."""
        found = []
        for name in self.names:
            for line in self.log_lines(name):
                if 'owns the cell.' in line['text'] and 'does not' not in line['text']:
                    found.append((line['epoch'], name))
        return sorted(found)

    def call(
        self, name: str, method: str, job: str, document: dict | None = None
    ) -> tuple[int, dict]:
        """Send a client's call to one host; status 0 means that there was no answer."""
        connection = HTTPConnection(
            self._address_by_name[name], self._first_port, timeout=CALL_SECONDS
        )
        headers = {
            'Host': 'desk.example',
            'Content-Type': 'application/json',
            'X-Deadline-Ms': str(int(CALL_SECONDS * MILLISECONDS)),
        }
        body = None if document is None else json.dumps(document)
        try:
            connection.request(method, f'/desk/{job}', body, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, HTTPException):
            return 0, {}
        finally:
            connection.close()
        return response.status, json.loads(content) if content else {}

    def _is_ready(self, name: str) -> bool:
        connection = HTTPConnection(self._address_by_name[name], self._first_port + 1, timeout=1)
        try:
            connection.request('GET', '/v1/readyz')
            return connection.getresponse().status == HTTP_OK
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def _find_free_ports(self) -> int:
        for attempt in range(PORT_BLOCKS):
            first = LOWEST_PORT + (os.getpid() + attempt) % PORT_BLOCKS * PORT_COUNT
            ports = (METRICS_PORT, *range(first, first + PORT_COUNT))
            if all(_are_free(address, ports) for address in self._address_by_name.values()):
                return first
        raise OSError('no free ports')


def _are_free(address: str, ports: Iterable[int]) -> bool:
    for port in ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


def run_case(folder: Path, play: Callable[[PlatformFleet, SmallDeployment, Record], bool]) -> int:
    """Play a case and return its exit status; ``play`` returns whether the rule was broken."""
    # The hosts are stopped even if this process is asked to end.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder)
    fleet = PlatformFleet()
    fleet.start()
    try:
        status = _play_on_hosts(fleet, play, record)
    except Exception as error:
        # A failure of the script itself must not look like a broken rule.
        record.note(f'the case could not run: {type(error).__name__}: {error}')
        status = CANNOT_RUN
    finally:
        fleet.stop()
    record.note(f'exit status {status}')
    record.write()
    return status


def _play_on_hosts(
    fleet: PlatformFleet,
    play: Callable[[PlatformFleet, SmallDeployment, Record], bool],
    record: Record,
) -> int:
    deployment = SmallDeployment(fleet)
    try:
        deployment.start()
        return BROKEN if play(fleet, deployment, record) else HELD
    finally:
        deployment.stop()


def wait_until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until a condition is met; raises ``TimeoutError``."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(f'{what}: not within {seconds} s')
        time.sleep(POLL_SECONDS)


def with_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'
