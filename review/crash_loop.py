"""Two cases about a service whose tasks fail soon after their start, again and again.

``python3 -m review.crash_loop record FOLDER`` plays case 9, ``numbers`` case 10. The exit status
is 1 if the rule was broken, 0 if it held and 2 if the case could not be played.
"""

import os
import struct
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TextIO

from dandelionreel.http import Response, json_response
from standins._entry_hosts import CALLERS_PORT, PEERS_PORT, READINESS_PORT, EntryHosts, wait_for
from standins._users_platform import PlatformRunner, PlatformStore, Run, UsersPlatform

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
#: Of the jobs of both cases.
CPU_LIMIT = 0.5
SERVICE_JOB = '5e121ce000000001'
SERVICE_SECONDS = 3600
SERVICE_MEMORY_MB = 32
ESTIMATE_MS = 1000
#: Figures of the rule LOST, in seconds.
IDLE_SECONDS = 3.0
CALM_SECONDS = 4.0
CONTACT_SECONDS = 3.0
SINCE_LAST_RUN_SECONDS = 6.0
FINISH_SECONDS = 14.0

#: Case 9: the service, how soon its tasks fail, and for how long they do.
SERVICE_TASKS = 120
SERVICE_CPU = 100
FAIL_SECONDS = 0.1
LOOP_SECONDS = 60.0
REPORT_SECONDS = 5.0
SETTLE_SECONDS = 4.0
OTHER_JOBS = 12
OTHER_JOB_SECONDS = 0.5
OTHER_CPU = 500
PAUSE_SECONDS = 0.25

#: Case 10: one task, which fails sooner, and how many runs it makes before the owner is killed.
NUMBERS_FAIL_SECONDS = 0.01
RUNS_BEFORE_KILL = 1300
FEWEST_RUNS = 1100
LONGEST_LOOP_SECONDS = 70.0
WATCH_SECONDS = 30.0
RESTART_SECONDS = 0.5
LABEL = 'b'

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


class Instances:
    """Whether the tasks of the service fail, and how soon after their start."""

    def __init__(self, fail_seconds: float) -> None:
        """Let them work."""
        self.fail = False
        self.fail_seconds = fail_seconds


class ServiceRunner(PlatformRunner):
    """A runner on which the tasks of the service fail while ``instances`` says so."""

    instances = Instances(FAIL_SECONDS)

    def _start(self, order: dict) -> Response:
        response = super()._start(order)
        run = self._run_by_task.get(order['task'])
        if run is None or not self.instances.fail or response.status != HTTP_OK:
            return response
        if is_of_service(run):
            run.outcome = 'failed'
            run.planned_end = run.began + self.instances.fail_seconds
        return response


class ServicePlatform(UsersPlatform):
    """Store, policy service and runners; the last runner is of another kind."""

    def __init__(self, instances: Instances) -> None:
        """Prepare the runners."""
        super().__init__(RUNNERS)
        self.limited = LimitedStore(1)
        self.store = self.limited
        self.runners = []
        for number in range(RUNNERS):
            runner = ServiceRunner(f'i-{number}', self.runs)
            runner.instances = instances
            self.runners.append(runner)
        self.zone_by_runner = dict.fromkeys(self.runners, 'north')

    def entry_of(self, runner: PlatformRunner, state: str = 'ready') -> dict:
        """Return a runner's entry."""
        entry = super().entry_of(runner, state)
        return entry | {'labels': [LABEL if runner is self.runners[-1] else 'a', 'r-1']}


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

    def __init__(self, platform: ServicePlatform, hosts: Hosts, record: TextIO) -> None:
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
        old = sum(runner.rejections['old'] for runner in self.platform.runners)
        store = self.platform.limited
        self.note(
            f'{len(runs)} starts, ends {dict(ends)}, highest run '
            f'{max((run.number for run in runs), default=0)}, {old} starts rejected as old; '
            f'largest record {store.largest} bytes, {store.refused} appends refused; '
            f'owner {self.hosts.owner()}'
        )

    def wait(self, seconds: float, step: float, done: Callable[[], bool]) -> None:
        """Wait until ``done()`` or for ``seconds``, and write the counts every ``step``."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and not done():
            time.sleep(min(step, max(0, until - time.monotonic())))
            self.note_counts()


def is_of_service(run: Run) -> bool:
    """Return whether a run is one of the service."""
    return run.task.startswith(SERVICE_JOB)


def never() -> bool:
    """Return that there is nothing to wait for."""
    return False


def make_job(seconds: float, count: int, cpu: int, **more: object) -> dict:
    """Return the body of a job of one step."""
    step = {
        'count': count,
        'cpu': cpu,
        'mem_mb': SERVICE_MEMORY_MB,
        'estimate_ms': ESTIMATE_MS,
        **more,
    }
    return {'spec': f'{cpu} {seconds}', 'steps': [step]}


def was_working(runs: list[Run], since: float, until: float) -> bool:
    """Return whether any of the runs was there at any time of a span."""
    return any(run.began < until and (run.ended is None or run.ended > since) for run in runs)


def share_in_use(platform: ServicePlatform, at: float) -> float:
    """Return the share of the service's processors that was in use at a time."""
    used = sum(
        run.cpu
        for run in platform.collect_runs()
        if run.began <= at and (run.ended is None or run.ended > at)
    )
    return used / sum(runner.cpu for runner in platform.runners)


def play_record(play: Play, instances: Instances, *, trouble: bool) -> int:
    """Play case 9: tasks that last fail for a minute; then other jobs are handed in."""
    body = make_job(SERVICE_SECONDS, SERVICE_TASKS, SERVICE_CPU, long_running=True)
    instances.fail = trouble
    if not play.submit(SERVICE_JOB, body):
        return NOT_PLAYED
    play.wait(LOOP_SECONDS, REPORT_SECONDS, never)
    instances.fail = False
    play.note('from now on, no task of the service fails when it is started')
    play.wait(SETTLE_SECONDS, SETTLE_SECONDS, never)
    accepted = []
    for number in range(OTHER_JOBS):
        job = f'{number:016x}'
        if play.submit(job, make_job(OTHER_JOB_SECONDS, 1, OTHER_CPU), number):
            accepted.append(job)
        time.sleep(PAUSE_SECONDS)
    play.note('the traffic has ended')
    play.wait(FINISH_SECONDS, FINISH_SECONDS, never)
    return judge_jobs(play, accepted)


def judge_jobs(play: Play, accepted: list[str]) -> int:
    """Judge LOST for the accepted jobs at the end, and for the tasks of the service."""
    now = time.monotonic()
    runs = play.platform.collect_runs()
    in_use = share_in_use(play.platform, now)
    play.note(f'{in_use:.2f} of the capacity is in use')
    lost = []
    for job in accepted:
        of_job = [run for run in runs if run.task.startswith(job)]
        is_done = any(run.outcome == 'done' and run.ended is not None for run in of_job)
        if not is_done and not was_working(of_job, now - IDLE_SECONDS, now):
            lost.append(job)
            play.note(f'job {job} was accepted and has nothing running: {play.ask(job)}')
    service = [run for run in runs if is_of_service(run)]
    idle = SERVICE_TASKS - len({run.task for run in service if run.ended is None})
    play.note(f'{idle} of {SERVICE_TASKS} tasks of the service are not running')
    if not accepted:
        play.note('no other job was accepted')
    return BROKEN if (lost or idle) and in_use < CPU_LIMIT else HELD


def play_numbers(play: Play, instances: Instances, *, trouble: bool) -> int:
    """Play case 10: one task that lasts has failed over a thousand times; the owner is killed."""
    runs = play.platform.runs
    instances.fail = True
    body = make_job(SERVICE_SECONDS, 1, OTHER_CPU, long_running=True, requires=LABEL)
    if not play.submit(SERVICE_JOB, body):
        return NOT_PLAYED
    play.wait(LONGEST_LOOP_SECONDS, REPORT_SECONDS, lambda: len(runs) >= RUNS_BEFORE_KILL)
    if len(runs) < FEWEST_RUNS:
        play.note('too few runs for the case')
        return NOT_PLAYED
    owner = kill_owner(play) if trouble else ''
    instances.fail = False
    changed_at = time.monotonic()
    play.note('from now on, the task does not fail when it is started')
    if owner:
        time.sleep(RESTART_SECONDS)
        play.hosts.start(owner)
        play.note(f'{owner} was started again')
    play.wait(WATCH_SECONDS, REPORT_SECONDS, never)
    play.note(f'{SERVICE_JOB}: {play.ask(SERVICE_JOB)}')
    return judge_task(play, changed_at)


def kill_owner(play: Play) -> str:
    """Kill the host that owns the cell, and return its name."""
    owner = play.hosts.owner()
    play.hosts.kill(owner)
    play.note(f'{owner}, the owner, was killed')
    return owner


def judge_task(play: Play, changed_at: float) -> int:
    """Judge LOST for the task of the service, once the machines are calm again."""
    now = time.monotonic()
    runs = [run for run in play.platform.collect_runs() if is_of_service(run)]
    ends = [run.ended for run in runs if run.ended is not None]
    since = max(
        changed_at + CONTACT_SECONDS + CALM_SECONDS,
        max(ends, default=changed_at) + SINCE_LAST_RUN_SECONDS,
    )
    started_at = [run.began for run in runs if run.ended is None]
    idle = min(started_at, default=now) - since
    play.note(f'the longest time without a run that counts is {max(0.0, idle):.1f} s')
    return BROKEN if idle > IDLE_SECONDS else HELD


@contextmanager
def deployment(fail_seconds: float, record: TextIO) -> Iterator[tuple[Play, Instances]]:
    """Start a platform and three entry hosts, and end them."""
    instances = Instances(fail_seconds)
    platform = ServicePlatform(instances)
    platform.start()
    platform.configure()
    hosts = Hosts(platform, block=FIRST_BLOCK + os.getpid() % BLOCKS)
    try:
        for name in hosts.names:
            hosts.start(name)
        hosts.wait_ready()
        wait_for(lambda: bool(hosts.owner()))
        yield Play(platform, hosts, record), instances
    finally:
        hosts.close()
        platform.stop()


def main(case: str, folder: str) -> int:
    """Play one case and write its record."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    play_case, fail_seconds = {
        'record': (play_record, FAIL_SECONDS),
        'numbers': (play_numbers, NUMBERS_FAIL_SECONDS),
    }[case]
    with (Path(folder) / 'record.txt').open('w') as record:
        try:
            with deployment(fail_seconds, record) as (play, instances):
                status = play_case(play, instances, trouble=trouble)
        except (OSError, TimeoutError) as error:
            record.write(f'the case could not be played: {type(error).__name__}\n')
            return NOT_PLAYED
        verdict = {BROKEN: 'LOST is broken', HELD: 'LOST held'}.get(status, 'not played')
        record.write(f'trouble {trouble}: {verdict}\n')
    return status


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
