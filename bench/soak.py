"""Seeded random faults on a whole cell: ``make soak`` or ``--seed N --seconds S``.

Requests and jobs go on while daemons die and pause, links are cut, the log is
unavailable, slow or loses replies, and workers and endpoints fail. Then all faults
end, all accepted jobs must end, and every guarantee is checked against the records
that the workers and endpoints keep themselves.
"""

import argparse
import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from threading import Event, Lock
from typing import Any

import msgspec

from features.cells import contract, job
from standins import (
    Cluster,
    Layout,
    find_overallocated_workers,
    find_overlapping_runs,
    find_overloaded_runners,
    find_repeated_starts,
    group_requests_by_mark,
    wait_until,
)

ZONES = ('ub-east', 'ub-west')
FINAL_STATES = ('succeeded', 'failed', 'cancelled', 'uncertain', 'parked')
LEAVING_SECONDS = 5.0


@dataclass
class RequestRecord:
    """One request and its answer."""

    mark: str
    body: bytes
    idempotent: bool
    status: int = 0
    verdict: str = ''
    echoed: bool = False


@dataclass
class Tally:
    """Requests, jobs and faults of a run, and the violations that it found."""

    requests: list[RequestRecord] = field(default_factory=list)
    #: Ids of accepted jobs, and whether each may be started only once (is not idempotent).
    accepted: dict[str, bool] = field(default_factory=dict)
    refused: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)
    version_by_member: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    left_at: dict[str, float] = field(default_factory=dict)
    lock: Lock = field(default_factory=Lock)


class Soak:
    """One soak run on one cell."""

    def __init__(self, seed: int, seconds: float, daemons: int) -> None:
        """Prepare a run; the seed determines the faults and their times."""
        self.random = random.Random(seed)
        self.seconds = seconds
        self.tally = Tally()
        self.stopping = Event()
        layout = Layout(ZONES, daemons, 2, 2, has_relays=True)
        self.cell = Cluster(layout)
        self.version = 1
        self.down_daemons: set[str] = set()

    def run(self) -> Tally:
        """Run load and faults, wait for all jobs to end and check the guarantees."""
        with self.cell:
            reply = self.cell.publish(contract(1))
            if reply.status != 200:
                raise RuntimeError(f'the contract was not published: {reply.body!r}')
            with ThreadPoolExecutor(8) as pool:
                loads = [pool.submit(self.run_load, index) for index in range(6)]
                loads.append(pool.submit(self.watch_versions))
                self.inject_faults()
                self.heal()
                self.stopping.set()
                for load in loads:
                    load.result()
            self.wait_for_jobs()
            self.check_results()
        return self.tally

    # Load.

    def run_load(self, index: int) -> None:
        """Send requests and jobs until the run stops."""
        rng = random.Random(f'{index}')
        while not self.stopping.is_set():
            names = [name for name in self.cell.daemons if name not in self.down_daemons]
            name = rng.choice(names)
            try:
                if rng.random() < 0.3:
                    self.submit(name, rng)
                else:
                    self.send_request(name, rng)
            except OSError:
                with self.tally.lock:
                    self.tally.refused['no answer'] += 1
            time.sleep(0.02)

    def send_request(self, name: str, rng: random.Random) -> None:
        """Send one request and keep its answer."""
        record = RequestRecord(os.urandom(8).hex(), os.urandom(200), rng.random() < 0.6)
        with self.tally.lock:
            self.tally.requests.append(record)
        reply = self.cell.request_as_caller(
            name,
            'POST',
            f'/v1/services/booking/echo?seconds={rng.choice((0.01, 0.05, 0.4))}',
            record.body,
            {
                'dandelionreel-customer': 'khangai',
                'dandelionreel-idempotent': 'true' if record.idempotent else 'false',
                'dandelionreel-deadline-ms': str(rng.choice((300, 1000, 3000))),
                'mark': record.mark,
            },
            timeout=12,
        )
        record.status = reply.status
        record.verdict = reply.headers.get('dandelionreel-verdict', '')
        record.echoed = reply.headers.get('mark') == record.mark and reply.body == record.body

    def submit(self, name: str, rng: random.Random) -> None:
        """Submit one job, sometimes twice with the same idempotency key."""
        at_most_once = rng.random() < 0.5
        demand = {'processors': rng.choice((2, 6, 12)), 'memory_mb': 1024}
        spec = job(f'run {rng.choice((0.1, 0.5, 2))}', demand=demand, idempotent=not at_most_once)
        key = os.urandom(6).hex()
        for _ in range(rng.choice((1, 1, 2))):
            reply = self.cell.submit(name, spec, key)
            with self.tally.lock:
                if reply.status == 202:
                    self.tally.accepted[reply.json()['id']] = at_most_once
                else:
                    self.tally.refused[reply.json()['type'].rsplit(':', 1)[1]] += 1

    def watch_versions(self) -> None:
        """Record a violation if the contract version of a running daemon decreases."""
        while not self.stopping.is_set():
            for name, daemon in self.cell.daemons.items():
                reply = (
                    self.cell.try_get(daemon, '/v1/status')
                    if name not in self.down_daemons
                    else None
                )
                if reply is None or reply.status != 200:
                    continue
                status = reply.json()
                version = status['contracts'].get('khangai', 0)
                member = status['member']
                if version < self.tally.version_by_member.get(member, 0):
                    self.tally.violations.append(f'contract version decreased at {member}')
                self.tally.version_by_member[member] = max(
                    version, self.tally.version_by_member.get(member, 0)
                )
            time.sleep(0.3)

    # Faults.

    def inject_faults(self) -> None:
        """Inject random faults until the time is over; some of them overlap."""
        end_at = time.monotonic() + self.seconds
        faults: tuple[Callable[[], None], ...] = (
            self.kill,
            self.pause,
            self.log_outage,
            self.log_slow,
            self.lose_answers,
            self.cut_daemon,
            self.cut_zone,
            self.one_way,
            self.fail_worker,
            self.cut_endpoint,
            self.leave_endpoint,
            self.planned_stop,
            self.publish,
            self.publish_race,
        )
        while time.monotonic() < end_at:
            fault = self.random.choice(faults)
            self.tally.faults[fault.__name__] += 1
            fault()
            time.sleep(self.random.uniform(0.1, 1.5))
            if self.random.random() < 0.5:
                self.heal()

    def pick_daemon(self) -> str:
        """Return a random running daemon."""
        running = [name for name, daemon in self.cell.daemons.items() if daemon.is_running]
        return self.random.choice(running)

    def kill(self) -> None:
        """Kill a daemon at once and start it again later."""
        name = self.pick_daemon()
        self.down_daemons.add(name)
        self.cell.kill(name)
        time.sleep(self.random.uniform(0, 2))
        self.cell.start(name)
        self.down_daemons.discard(name)

    def planned_stop(self) -> None:
        """Stop a daemon gracefully and start it again."""
        name = self.pick_daemon()
        self.down_daemons.add(name)
        time.sleep(0.1)
        self.cell.signal(name, signal.SIGTERM)
        process = self.cell.daemons[name].process
        if not wait_until(lambda: process.poll() is not None, 25):
            self.tally.violations.append(f'{name} did not stop in time')
            self.cell.kill(name)
        self.cell.start(name)
        self.down_daemons.discard(name)

    def pause(self) -> None:
        """Pause a daemon, for shorter or longer than its authority lasts."""
        name = self.pick_daemon()
        self.cell.signal(name, signal.SIGSTOP)
        time.sleep(self.random.choice((0.3, 1, 2, 4)))
        self.cell.signal(name, signal.SIGCONT)

    def log_outage(self) -> None:
        """Make the log unavailable for a while."""
        self.cell.set_log_faults(outage=True)
        time.sleep(self.random.uniform(0.5, 4))
        self.cell.set_log_faults()

    def log_slow(self) -> None:
        """Slow the log down."""
        self.cell.set_log_faults(slow=self.random.uniform(0.1, 0.6))

    def lose_answers(self) -> None:
        """Drop some replies of the log after it has written the records."""
        self.cell.set_log_faults(lose_answers=self.random.randrange(1, 6))

    def cut_daemon(self) -> None:
        """Cut a daemon off from everything."""
        name = self.pick_daemon()
        self.cell.cut((name, '*'), ('*', name))
        time.sleep(self.random.uniform(0.5, 5))

    def cut_zone(self) -> None:
        """Cut a zone off from the rest and from the log."""
        zone = self.random.choice(ZONES)
        inside = [daemon.name for daemon in self.cell.daemons.values() if daemon.zone == zone]
        outside = [daemon.name for daemon in self.cell.daemons.values() if daemon.zone != zone]
        pairs = [(inner, outer) for inner in inside for outer in (*outside, 'log')]
        self.cell.cut(*pairs, *[(outer, inner) for inner, outer in pairs])
        time.sleep(self.random.uniform(0.5, 4))

    def one_way(self) -> None:
        """Cut a link in one direction only."""
        target = self.random.choice(('log', self.pick_daemon()))
        self.cell.cut((self.pick_daemon(), target))
        time.sleep(self.random.uniform(0.5, 3))

    def pick_host(self, kind: str) -> str:
        """Return a random host of that kind: a worker or an endpoint."""
        return self.random.choice([host.name for host in self.cell.hosts if host.kind == kind])

    def fail_worker(self) -> None:
        """Make a worker unresponsive for a while."""
        name = self.pick_host('worker')
        self.cell.set_host_faults(name, outage=True)
        time.sleep(self.random.uniform(0.2, 3))
        self.cell.set_host_faults(name)

    def cut_endpoint(self) -> None:
        """Make an endpoint drop its connections for a while."""
        name = self.pick_host('endpoint')
        self.cell.set_host_faults(name, outage=True)
        time.sleep(self.random.uniform(0.2, 2))
        self.cell.set_host_faults(name)

    def leave_endpoint(self) -> None:
        """List an endpoint as leaving, and check that it gets no requests after that."""
        name = self.pick_host('endpoint')
        left_at = time.monotonic()
        self.publish_hosts(leaving=name)
        time.sleep(LEAVING_SECONDS + 1.5)
        late = [
            request
            for request in self.cell.record(name)['requests']
            if request['started_at'] > left_at + LEAVING_SECONDS
        ]
        if late:
            self.tally.violations.append(f'{name} got {len(late)} requests while leaving')
        self.publish_hosts()

    def publish_hosts(self, leaving: str = '') -> None:
        """Publish the platform's host list, with one host marked as leaving."""
        hosts = [
            msgspec.structs.replace(host, state='leaving') if host.name == leaving else host
            for host in self.cell.hosts
        ]
        self.cell.replace_hosts(hosts)

    def publish(self) -> None:
        """Publish the next contract version through a random daemon."""
        self.publish_by(self.pick_daemon())

    def publish_by(self, name: str) -> None:
        """Publish through that daemon; a failed publication is no violation."""
        try:
            reply = self.cell.publish(contract(self.version + 1), self.version, name)
        except OSError:
            return
        if reply.status == 200 or 'is in force' in reply.body.decode():
            self.version += 1

    def publish_race(self) -> None:
        """Publish the same version twice at once; at most one publication may succeed."""
        with ThreadPoolExecutor(2) as pool:
            first, second = self.pick_daemon(), self.pick_daemon()
            version = self.version
            replies = list(pool.map(lambda name: self.try_publish(name, version), (first, second)))
        accepted = [reply for reply in replies if reply == 200]
        if len(accepted) > 1 and first != second:
            self.tally.violations.append('two publications of the same version both succeeded')
        self.version = max(self.tally.version_by_member.values(), default=1)

    def try_publish(self, name: str, version: int) -> int:
        """Return the status of one publication, 0 without an answer."""
        try:
            return self.cell.publish(contract(version + 1), version, name).status
        except OSError:
            return 0

    def heal(self) -> None:
        """End all faults and restart stopped daemons."""
        self.cell.cut()
        self.cell.set_log_faults()
        self.publish_hosts()
        for host in self.cell.hosts:
            if host.kind != 'entry':
                self.cell.set_host_faults(host.name)
        for name, daemon in self.cell.daemons.items():
            self.cell.signal(name, signal.SIGCONT)
            if not daemon.is_running:
                self.cell.kill(name)
                self.cell.start(name)

    # Checks.

    def wait_for_jobs(self) -> None:
        """Wait until every accepted job is in a final state; record those that are not."""
        for name in self.cell.daemons:
            self.cell.wait_ready(name)
        unfinished = set(self.tally.accepted)

        def all_finished() -> bool:
            for zone in ZONES:
                name = f'{zone}-d0'
                for state in FINAL_STATES:
                    unfinished.difference_update(self.list_jobs(name, state))
            return not unfinished

        if not wait_until(all_finished, 60, 0.5):
            self.tally.violations.append(
                f'{len(unfinished)} accepted jobs did not end: {sorted(unfinished)[:3]}'
            )
            for job_id in sorted(unfinished)[:3]:
                shown = self.cell.request_as_operator(f'{ZONES[0]}-d0', 'GET', f'/v1/jobs/{job_id}')
                self.tally.violations.append(shown.body.decode())

    def list_jobs(self, name: str, state: str) -> set[str]:
        """Return the ids of the jobs in a state, in the zone of a daemon."""
        job_ids: set[str] = set()
        after = ''
        while True:
            path = f'/v1/jobs?state={state}&limit=1000&after={after}'
            page: dict[str, Any] = self.cell.request_as_operator(name, 'GET', path).json()
            job_ids.update(view['id'] for view in page['jobs'])
            after = page['next_after']
            if not after:
                return job_ids

    def check_results(self) -> None:
        """Check all guarantees against the records of the workers and endpoints."""
        tally = self.tally
        workers = self.cell.records('worker')
        endpoints = self.cell.records('endpoint')
        runs = [run for record in workers for run in record['runs']]
        at_most_once = {name for name, is_at_most_once in tally.accepted.items() if is_at_most_once}
        tally.violations.extend(
            f'worker overallocated: {item}' for item in find_overallocated_workers(workers)
        )
        tally.violations.extend(
            f'endpoint over its slots: {item}' for item in find_overloaded_runners(endpoints)
        )
        tally.violations.extend(
            f'ran in two places: {item}' for item in find_overlapping_runs(runs)
        )
        tally.violations.extend(
            f'started more than once: {item}' for item in find_repeated_starts(runs, at_most_once)
        )
        tally.violations.extend(self.check_requests(group_requests_by_mark(endpoints)))
        self.starts = len(runs)
        self.handled_requests = sum(len(record['requests']) for record in endpoints)

    def check_requests(self, handled_by_mark: dict[str, list[dict[str, Any]]]) -> list[str]:
        """Return the violations found in replies and verdicts."""
        violations = []
        for record in self.tally.requests:
            executions = handled_by_mark.get(record.mark, [])
            if record.status == 200 and not record.echoed:
                violations.append(f'got the reply of another request: {record.mark}')
            if record.verdict == 'not_run' and executions:
                violations.append(f'ran with verdict not_run: {record.mark}')
            if not record.idempotent and len(executions) > 1:
                violations.append(
                    f'non-idempotent request ran {len(executions)} times: {record.mark}'
                )
        return violations


def main() -> int:
    """Run, print the seed and the counts, and return 0 if there are no violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=random.SystemRandom().randrange(10**6))
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument('--daemons', type=int, default=3)
    options = parser.parse_args()
    soak = Soak(options.seed, options.seconds, options.daemons)
    tally = soak.run()
    verdicts = Counter(record.verdict or 'none' for record in tally.requests)
    sys.stdout.write(
        f'seed {options.seed}, {options.seconds:.0f} s of faults: {dict(tally.faults)}\n'
        f'requests {len(tally.requests)} with verdicts {dict(verdicts)}; worked on '
        f'{soak.handled_requests}\n'
        f'jobs accepted {len(tally.accepted)}, task starts {soak.starts}, '
        f'submissions refused {dict(tally.refused)}\n'
        f'promises broken: {len(tally.violations)}\n',
    )
    for line in tally.violations[:20]:
        sys.stdout.write(f'WRONG {line[:400]}\n')
    return 1 if tally.violations else 0


if __name__ == '__main__':
    sys.exit(main())
