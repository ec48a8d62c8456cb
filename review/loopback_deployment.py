"""A small deployment on loopback addresses for the cases from 9 on: entry hosts and a platform.

The entry hosts are processes, started as the deploy file says. The platform, the clients and the
record of a play are in the script's own process.
"""

import os
import struct
import subprocess
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TextIO

from dandelionreel.http import Response, json_response
from standins._entry_hosts import CALLERS_PORT, PEERS_PORT, READINESS_PORT, EntryHosts, wait_for
from standins._users_platform import PlatformStore, Run, UsersPlatform

#: The limits of the platform's store, as in the settings file that DEPLOY.md shows.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
RECORD_LENGTH = struct.Struct('>I')

#: The settings of a small site's host, as DEPLOY.md shows them.
SETTINGS = """\
node = "{name}"
role = "entry"
machine_class = "frontend"
serves = ["frontend","control_plane"]
ip = "{address}"
zone = "{zone}"
region = "r-1"
port_range = [{peers}, {last}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice"]
control_mode = "invocation"
advice = "127.0.0.1:{advice}"
[listen]
frontend = "{address}:{callers}"
readiness = "{address}:{readiness}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[bounds]
contact_ms = 3000
config_apply_ms = 2000
grace_s = 6
max_hold_ms = 10000
gang_timeout_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "127.0.0.1:{store}"
form = "log"
parts = 24
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
"""

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
TASK_MEMORY_MB = 32
ESTIMATE_MS = 1000
#: Figures of the rule LOST: seconds without a run, and from the end of the traffic on.
IDLE_SECONDS = 3.0
FINISH_SECONDS = 14.0
#: Exit statuses of a script.
BROKEN = 1
HELD = 0
NOT_PLAYED = 2
RUNNERS = 6
FIRST_BLOCK = 100
BLOCKS = 150


class LimitedStore(PlatformStore):
    """The platform's store, with the published limits of a record and of a call."""

    def __init__(self, seed: int) -> None:
        """Count what is refused."""
        super().__init__(seed)
        self.refused = 0
        self.largest = 0

    def _append(self, topic: Any, fields: dict[str, str], body: bytes) -> Response:
        position = 0
        largest = 0
        while position < len(body):
            length = RECORD_LENGTH.unpack_from(body, position)[0]
            largest = max(largest, length)
            position += RECORD_LENGTH.size + length
        self.largest = max(self.largest, largest)
        if largest > RECORD_BYTES or len(body) > REQUEST_BYTES:
            self.refused += 1
            return json_response({'reason': 'size'}, HTTP_BAD_REQUEST)
        return super()._append(topic, fields, body)


class SmallPlatform(UsersPlatform):
    """Store with its limits, policy service and runners of eight processors."""

    def __init__(self, store: LimitedStore) -> None:
        """Prepare the runners."""
        super().__init__(RUNNERS)
        self.limited = store
        self.store = store


class Hosts(EntryHosts):
    """Entry hosts, started as the deploy file says, on loopback addresses of their own."""

    def start(self, name: str) -> None:
        """Start a host that logs to its own file."""
        folder = Path(self._folder.name)
        settings = folder / f'{name}.toml'
        ports = self._platform.port_by_name
        seeds = ','.join(f'"{address}:1"' for address in self._address_by_name.values())
        settings.write_text(
            SETTINGS.format(
                name=name,
                address=self._address_by_name[name],
                zone=self.zone_by_name[name],
                peers=PEERS_PORT,
                last=PEERS_PORT + 5,
                seeds=seeds,
                advice=ports['advice'],
                callers=CALLERS_PORT,
                readiness=READINESS_PORT,
                store=ports['store'],
            )
        )
        with (folder / f'{name}.log').open('ab') as log:
            self.process_by_name[name] = subprocess.Popen(
                ['python3', *self.command],
                env={**os.environ, 'DANDELIONREEL_NODE_FILE': str(settings)},
                stdout=log,
                stderr=log,
            )


class Play:
    """One play of a case: the deployment, its clients and the record."""

    def __init__(self, platform: SmallPlatform, hosts: Hosts, record: TextIO) -> None:
        """Write to ``record``, with seconds from now on."""
        self.platform = platform
        self.hosts = hosts
        self._record = record
        self._began = time.monotonic()

    def note(self, line: str) -> None:
        """Write a line to the record."""
        self._record.write(f'{time.monotonic() - self._began:8.2f}  {line}\n')
        self._record.flush()

    def submit(self, job: str, body: dict, first: int = 0) -> bool:
        """Hand a job in as a client does, at one host after the other."""
        names = self.hosts.names
        for attempt in range(len(names) + 1):
            name = names[(first + attempt) % len(names)]
            reply = self.hosts.request(name, 'POST', f'/plain/{job}', body)
            self.note(f'POST {job} at {name}: {reply.status or "no answer"}')
            if reply.status == HTTP_OK:
                return True
        return False

    def ask(self, job: str) -> str:
        """Return the states of a job that the hosts give."""
        states = []
        for name in self.hosts.names:
            reply = self.hosts.request(name, 'GET', f'/plain/{job}', wait=2)
            states.append(f'{name}: {reply.status} {reply.body.get("state", "")}')
        return ', '.join(states)

    def note_counts(self) -> None:
        """Write what has happened so far."""
        runs = self.platform.collect_runs()
        ends = Counter(run.outcome for run in runs if run.ended is not None)
        store = self.platform.limited
        self.note(
            f'{len(runs)} starts, ends {dict(ends)}; largest record {store.largest} bytes, '
            f'{store.refused} appends refused; owner {self.hosts.owner()}'
        )

    def wait_to_finish(self) -> None:
        """Wait until jobs are asked for."""
        self.note('the traffic has ended')
        time.sleep(FINISH_SECONDS)
        self.note_counts()


def make_job(seconds: float, count: int, cpu: int, **more: object) -> dict:
    """Return the body of a job of one step."""
    step = {
        'count': count,
        'cpu': cpu,
        'mem_mb': TASK_MEMORY_MB,
        'estimate_ms': ESTIMATE_MS,
        **more,
    }
    return {'spec': f'{cpu} {seconds}', 'steps': [step]}


def was_working(runs: list[Run], since: float, until: float) -> bool:
    """Return whether any of the runs was there at any time of a span."""
    return any(run.began < until and (run.ended is None or run.ended > since) for run in runs)


def share_in_use(platform: SmallPlatform, at: float) -> float:
    """Return the share of the service's processors that was in use at a time."""
    used = sum(
        run.cpu
        for run in platform.collect_runs()
        if run.began <= at and (run.ended is None or run.ended > at)
    )
    return used / sum(runner.cpu for runner in platform.runners)


def is_lost(runs: list[Run], job: str, now: float) -> bool:
    """Return whether an accepted job is not done and has had nothing running for 3 s."""
    of_job = [run for run in runs if run.task.startswith(job)]
    is_done = any(run.outcome == 'done' and run.ended is not None for run in of_job)
    return not is_done and not was_working(of_job, now - IDLE_SECONDS, now)


@contextmanager
def deployment(record: TextIO, store: LimitedStore) -> Iterator[Play]:
    """Start a platform and three entry hosts, and end them."""
    platform = SmallPlatform(store)
    platform.start()
    platform.configure()
    hosts = Hosts(platform, block=FIRST_BLOCK + os.getpid() % BLOCKS)
    try:
        for name in hosts.names:
            hosts.start(name)
        hosts.wait_ready()
        wait_for(lambda: bool(hosts.owner()))
        yield Play(platform, hosts, record)
    finally:
        hosts.close()
        platform.stop()


def play_case(
    folder: str,
    rule: str,
    play: Callable[[Play, bool], int],
    store: LimitedStore | None = None,
) -> int:
    """Play a case in its folder and write its record; return the exit status."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    with (Path(folder) / 'record.txt').open('w') as record:
        try:
            with deployment(record, store or LimitedStore(1)) as started:
                status = play(started, trouble)
        except (OSError, TimeoutError) as error:
            record.write(f'the case could not be played: {type(error).__name__}\n')
            return NOT_PLAYED
        verdict = {BROKEN: f'{rule} is broken', HELD: f'{rule} held'}.get(status, 'not played')
        record.write(f'trouble {trouble}: {verdict}\n')
    return status
