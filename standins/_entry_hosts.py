"""Starts entry hosts as real processes, each on its own loopback address."""

import json
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path
from tempfile import TemporaryDirectory

from standins._users_platform import CapacityChange, QuotaHistory, Run, UsersPlatform

SETTINGS = """\
node = "{name}"
ip = "{address}"
zone = "{zone}"
port_range = [{peers}, {last}]
advice = "127.0.0.1:{advice}"
seeds = {seeds}
[listen]
frontend = "{address}:{callers}"
readiness = "{address}:{readiness}"
[platform]
address = "127.0.0.1:{store}"
[bounds]
grace_s = 4
[limits]
cpu_share = {cores}
memory_mb = {memory_mb}
max_fds = {max_fds}
"""
CALLERS_PORT = 7801
READINESS_PORT = 7802
PEERS_PORT = 7810
METRICS_PORT = 9464
#: Seconds; longer than anything here takes, even on a slow machine.
LONG_TIMEOUT = 60
#: Seconds after which no start may rely on a runner's previous capacity: 3 s for which
#: a contact is valid, and one heartbeat interval of 1.5 s.
CAPACITY_UPDATE_SECONDS = 4.5
#: Seconds after which a configuration is in effect on all hosts, including an owner that
#: was paused.
CONFIGURATION_UPDATE_SECONDS = 5.0


@dataclass(frozen=True)
class Reply:
    """A host's response; status 0 means that there was none."""

    status: int
    body: dict
    retry_after: str = ''


class EntryHosts:
    """Starts entry hosts, sends them signals and requests, and ends those that it started."""

    #: Arguments of the Python interpreter that start a host.
    command: tuple[str, ...] = ('-m', 'dandelionreel')
    #: Share of a core that the settings of a host declare.
    cores = 1.0
    #: Memory and file descriptors of the machine that the settings of a host declare.
    memory_mb = 300
    max_fds = 4100

    def __init__(self, platform: UsersPlatform, count: int = 3, block: int = 1) -> None:
        """Prepare ``count`` hosts on the addresses from 127.0.``block``.1 on."""
        self._platform = platform
        self._folder = TemporaryDirectory()
        self.names = [f'entry-{number}' for number in range(1, count + 1)]
        self._address_by_name = {
            name: f'127.0.{block}.{number}' for number, name in enumerate(self.names, 1)
        }
        zones = platform.zones
        self.zone_by_name = {
            name: zones[number % len(zones)] for number, name in enumerate(self.names)
        }
        self.process_by_name: dict[str, subprocess.Popen] = {}

    def start(self, name: str) -> None:
        """Start a host that logs to its own file."""
        folder = Path(self._folder.name)
        settings = folder / f'{name}.toml'
        ports = self._platform.port_by_name
        text = SETTINGS.format(
            name=name,
            address=self._address_by_name[name],
            zone=self.zone_by_name[name],
            peers=PEERS_PORT,
            seeds=json.dumps([f'{address}:1' for address in self._address_by_name.values()]),
            last=PEERS_PORT + 5,
            callers=CALLERS_PORT,
            readiness=READINESS_PORT,
            store=ports.get(f'store-{name}', ports['store']),
            advice=ports['advice'],
            cores=self.cores,
            memory_mb=self.memory_mb,
            max_fds=self.max_fds,
        )
        settings.write_text(text)
        with (folder / f'{name}.log').open('ab') as log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, *self.command],
                env={**os.environ, 'DANDELIONREEL_NODE_FILE': str(settings)},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a host if it still runs."""
        process = self.process_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a host and wait for its end."""
        self.send_signal(name, signal.SIGKILL)
        self.process_by_name[name].wait()

    def request(
        self,
        name: str,
        method: str,
        path: str,
        body: object = None,
        wait: float = 5,
        key: str = '',
    ) -> Reply:
        """Send a client's request to one host, with an API key if one is given."""
        connection = HTTPConnection(self._address_by_name[name], CALLERS_PORT, timeout=wait)
        content = json.dumps(body) if isinstance(body, dict) else body
        try:
            headers = {'Host': 'desk.example'}
            if key:
                headers['Authorization'] = f'Bearer {key}'
            connection.request(method, path, content, headers)
            answer = connection.getresponse()
            content_bytes = answer.read()
            retry_after = answer.getheader('Retry-After') or ''
        except OSError:
            return Reply(0, {})
        finally:
            connection.close()
        return Reply(answer.status, json.loads(content_bytes) if content_bytes else {}, retry_after)

    def address_of(self, name: str) -> str:
        """Return the IP address of a host."""
        return self._address_by_name[name]

    def client_address_of(self, name: str) -> tuple[str, int]:
        """Return the address and port at which a host serves clients."""
        return self._address_by_name[name], CALLERS_PORT

    def is_ready(self, name: str) -> bool:
        """Query the readiness endpoint, as the load balancer does."""
        connection = HTTPConnection(self._address_by_name[name], READINESS_PORT, timeout=2)
        try:
            connection.request('GET', '/v1/readyz')
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def metrics(self, name: str) -> str:
        """Return the metrics page of a host."""
        connection = HTTPConnection(self._address_by_name[name], METRICS_PORT, timeout=5)
        try:
            connection.request('GET', '/metrics')
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def wait_ready(self) -> None:
        """Wait until all hosts that run are ready."""
        wait_for(lambda: all(self.is_ready(name) for name in self.process_by_name))

    def owner(self) -> str:
        """Return the host that logged the newest ownership of the cell."""
        found = ''
        newest = 0
        for name in self.names:
            for epoch in self._epochs(name):
                if epoch > newest:
                    newest, found = epoch, name
        return found

    def log_of(self, name: str) -> str:
        """Return what a host has logged."""
        return (Path(self._folder.name) / f'{name}.log').read_text(errors='replace')

    def close(self) -> None:
        """Kill all hosts and delete their files."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()

    def _epochs(self, name: str) -> list[int]:
        lines = [line for line in self.log_of(name).splitlines() if 'owns the cell' in line]
        return [json.loads(line)['epoch'] for line in lines]


def wait_for(condition, timeout: float = LONG_TIMEOUT) -> None:
    """Wait until ``condition()`` is true; raises ``TimeoutError``."""
    until = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError('the condition was not met in time')
        time.sleep(0.05)


def find_duplicate_runs(runs: list[Run]) -> list[str]:
    """Return the tasks that ran twice at once, or again after they were done."""
    found = []
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    for task, task_runs in by_task.items():
        task_runs.sort(key=_get_start)
        for earlier, later in zip(task_runs, task_runs[1:], strict=False):
            still_running = earlier.ended is None or later.began < earlier.ended
            if still_running or earlier.outcome == 'done':
                found.append(task)
    return found


def _get_start(run: Run) -> float:
    return run.began


def count_crashes_by_task(runs: list[Run]) -> dict[str, int]:
    """Return for each task how often a runner crashed while running it."""
    return Counter(run.task for run in runs if run.outcome == 'crashed')


def find_starts_over_capacity(
    runs: list[Run], capacity_changes_by_runner: dict[str, list[CapacityChange]]
) -> list[str]:
    """Return the starts that took a runner over the capacity that hosts may assume."""
    found = []
    for run in runs:
        cpu_in_use = sum(
            other.cpu
            for other in runs
            if other.runner == run.runner
            and other.began <= run.began
            and (other.ended is None or other.ended > run.began)
        )
        if cpu_in_use > _capacity_at(capacity_changes_by_runner[run.runner], run.began):
            found.append(f'{run.task} on {run.runner}')
    return found


def find_starts_over_quota(
    runs: list[Run],
    account_by_job: dict[str, str],
    quotas: QuotaHistory,
) -> list[str]:
    """Return the starts that took an account over the highest quota that may be in effect."""
    found = []
    for run in runs:
        account = account_by_job.get(run.task.split('.')[0], '')
        quota = quotas.get_highest(account, run.began - CONFIGURATION_UPDATE_SECONDS, run.began)
        cpu_in_use = sum(
            other.cpu
            for other in runs
            if account_by_job.get(other.task.split('.')[0]) == account
            and other.began <= run.began
            and (other.ended is None or other.ended > run.began)
        )
        if quota and cpu_in_use > quota:
            found.append(f'{run.task}: {account} has {cpu_in_use} of {quota}')
    return found


def _capacity_at(capacity_changes: list[CapacityChange], at: float) -> int:
    """Return the highest capacity that hosts may assume, given the time an update takes."""
    known_cpu = capacity_changes[0][1]
    recent_cpus = []
    for since, cpu in capacity_changes:
        if since <= at - CAPACITY_UPDATE_SECONDS:
            known_cpu = cpu
        elif since <= at:
            recent_cpus.append(cpu)
    return max([known_cpu, *recent_cpus])


def find_overallocated_runners(runs: list[Run], capacity: int = 8000) -> list[str]:
    """Return the runners whose tasks used more processors than they have at some time."""
    found = []
    now = time.monotonic()
    runners = {run.runner for run in runs}
    for runner in runners:
        changes: list[tuple[float, int, int]] = []
        for run in runs:
            if run.runner != runner:
                continue
            ended = now if run.ended is None else run.ended
            changes.extend(((run.began, 1, run.cpu), (ended, 0, -run.cpu)))
        cpu_in_use = 0
        for _, _, change in sorted(changes):
            cpu_in_use += change
            if cpu_in_use > capacity:
                found.append(runner)
                break
    return found
