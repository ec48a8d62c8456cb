"""Seeded random faults on entry hosts and their platform: ``make platform-soak``.

Jobs are submitted, queried and cancelled while hosts are killed, paused and stopped (clients use
kept connections of a stopping host until its process is gone), links to the store and to runners
are cut in one or both directions, the store is down, slow or loses replies, runners crash and come
back (under other ids, or under the same ids with ``--restarts``; then several at once also go dark,
in series), runners change their capacity or are crashed by tasks, another writer fills the topic of
the runners with invalid entries, and keys and quotas of client accounts change (with
``--accounts``). Faults overlap. Then all faults end, every accepted job must end, and the
guarantees are checked against the runners' own records and the replies to the clients.
"""

import argparse
import random
import signal
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass, field
from threading import Event, Lock, Timer

from bench.soak_accounts import Key, SoakAccounts
from bench.soak_stops import SoakStops
from standins import (
    ANY_NAME,
    Cut,
    Cuts,
    EntryHosts,
    PlatformRunner,
    Reply,
    UsersPlatform,
    count_crashes_by_task,
    find_duplicate_runs,
    find_overallocated_runners,
    find_starts_over_capacity,
    wait_for,
)

CLIENT_COUNT = 3
#: Seconds between faults, and how long one lasts.
FAULT_GAP = (0.3, 1.5)
FAULT_LENGTH = (0.3, 4.0)
#: CPU capacities that a runner may report, in thousandths of a core.
RUNNER_CPUS = (3000, 5000, 8000)
#: Seconds between two jobs whose tasks crash their runners.
CRASHING_JOB_GAP = (1.0, 4.0)
#: Seconds between two series of restarts in the dark, and their number in a series; seconds for
#: which machines are dark, and after which they write their entries again.
DARK_GAP = (1.0, 4.0)
DARK_SERIES = (2, 4)
DARK_LENGTH = (0.1, 0.9)
DARK_ENTRY_DELAY = (0.05, 0.4)
#: Share of the runners that go dark together.
DARK_SHARE = 0.7
#: Most runners that one task may crash, and fewest crashes before a task is given up.
MAX_CRASHES = 5
MIN_CRASHES = 2
DONE_OUTCOMES = frozenset(('done', 'unread'))
#: Statuses that leave the outcome unknown; 0 is no reply.
UNKNOWN_STATUSES = frozenset((0, 504))
#: Statuses that say that the job was not accepted.
REFUSED_STATUSES = frozenset((400, 401, 403, 404, 409, 413, 429, 503))
#: Seconds after its acceptance for which a job's state is kept (status_s), and seconds after it was
#: Seconds after a cancellation within which a host that was paused may still start a task.
CANCELLED_START_SECONDS = 8.0
#: shown as completed from which on no task of it may start.
STATUS_SECONDS = 120.0
LATE_START_SECONDS = 1.0
#: Most jobs whose state a client asks for after each submission.
MAX_STATES_ASKED = 3
HTTP_GONE = 410
FINAL_STATES = frozenset(('completed', 'failed', 'cancelled'))


@dataclass
class JobRecord:
    """One job and the replies to its client."""

    path: str
    tasks: int
    gang: bool = False
    #: Whether its tasks crash the runners that start them.
    crashes_runners: bool = False
    #: The number of its client.
    client: int = 0
    accepted: bool = False
    accepted_at: float = 0.0
    #: When a host first showed it as completed, in monotonic seconds.
    completed_at: float | None = None
    #: A submission had no clear reply: the job may have been accepted.
    in_doubt: bool = False
    cancelled: bool = False
    #: When the cancellation of a job in doubt was answered, in monotonic seconds.
    cancelled_at: float | None = None
    #: A cancellation had no clear reply: it may have taken effect.
    cancel_in_doubt: bool = False


@dataclass
class Tally:
    """Jobs and faults of a run, and the violations that it found."""

    jobs: list[JobRecord] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    #: Requests that were answered or refused at hosts that were told to stop.
    answered_during_stops: int = 0


class PlatformSoak:
    """One soak run; ``seed`` determines all faults and all jobs."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        hosts: int = 3,
        runners: int = 4,
        *,
        restarts: bool = False,
        accounts: bool = False,
        planned: bool = False,
    ) -> None:
        """Prepare the platform and the hosts.

        With ``restarts`` runners keep their ids; with ``accounts`` each client has an account,
        whose keys and quota change during the run. With ``planned`` there are only planned stops,
        checks of the settings and a slow store.
        """
        self._seed = seed
        self._random = random.Random(seed)
        self._seconds = seconds
        self._platform = UsersPlatform(runners, seed, reports_incarnation=restarts)
        self._hosts = EntryHosts(self._platform, hosts, block=2 + seed % 200)
        for name in self._hosts.names:
            self._platform.add_relay(f'store-{name}', 'store')
        for runner in self._platform.runners:
            self._platform.add_relay(f'relay-{runner.name}', runner.name)
        self._links = [f'store-{name}' for name in self._hosts.names]
        self._links += [f'relay-{runner.name}' for runner in self._platform.runners]
        self._stops = SoakStops(self._hosts, seed)
        self._is_planned = planned
        self._has_restarts = restarts
        self._has_accounts = accounts
        self._accounts: SoakAccounts | None = None
        self._cuts: list[Cut] = []
        self._lock = Lock()
        self._stopping = Event()
        self._timers: list[Timer] = []
        self._runner_restarts = 0
        self.tally = Tally()

    def run(self) -> Tally:
        """Run load and faults, end all faults, and check the guarantees."""
        with ExitStack() as stack:
            self._platform.start()
            stack.callback(self._platform.stop)
            self._configure()
            stack.callback(self._hosts.close)
            for name in self._hosts.names:
                self._hosts.start(name)
            self._hosts.wait_ready()
            with ThreadPoolExecutor(CLIENT_COUNT + 5) as pool:
                seeds = [self._random.random() for _ in range(CLIENT_COUNT)]
                for number, seed in enumerate(seeds):
                    pool.submit(self._run_client, number, random.Random(seed))
                if not self._is_planned:
                    pool.submit(self._write_foreign_entries)
                    pool.submit(self._change_capacities)
                    pool.submit(self._submit_crashing_jobs)
                if self._has_restarts and not self._is_planned:
                    pool.submit(self._restart_in_the_dark)
                if self._accounts is not None:
                    pool.submit(self._accounts.change_until_stopped, self._stopping)
                self._inject_faults()
                self._stopping.set()
            self._heal()
            self._check_results()
            if self.tally.violations:
                for name in self._hosts.names:
                    sys.stdout.write(f'--- {name}\n{self._hosts.log_of(name)[-200_000:]}')
        return self.tally

    def _configure(self) -> None:
        if self._has_accounts:
            self._accounts = SoakAccounts(self._platform, self._seed)
        else:
            self._platform.configure()

    def _run_client(self, number: int, rng: random.Random) -> None:
        count = 0
        records: list[JobRecord] = []
        while not self._stopping.is_set():
            count += 1
            job = (number << 32) + count
            queue = rng.choice(('plain', 'advised'))
            record = JobRecord(f'/{queue}/{job:016x}', rng.randint(1, 4), client=number)
            self.tally.jobs.append(record)
            self._submit(record, rng)
            if record.accepted and rng.random() < 0.1:
                time.sleep(rng.random() * 0.3)
                host = rng.choice(self._hosts.names)
                status = self._request(host, 'DELETE', record).status
                record.cancelled = status == 200
                record.cancel_in_doubt = status in UNKNOWN_STATUSES
            if record.in_doubt and not record.accepted:
                self._cancel_in_doubt(record, rng)
            records.append(record)
            for shown in rng.sample(records, min(len(records), MAX_STATES_ASKED)):
                self._ask_for_state(rng.choice(self._hosts.names), shown)
            time.sleep(rng.random() * 0.3)

    def _submit(self, record: JobRecord, rng: random.Random) -> None:
        cpu = rng.choice((500, 1500, 3000))
        step = {
            'count': record.tasks,
            'cpu': cpu,
            'mem_mb': 10,
            'estimate_ms': 200,
        }
        if rng.random() < 0.3:
            record.gang = True
            step['gang'] = True
        failure = ' crash' if record.crashes_runners else ''
        body = {'spec': f'{cpu} {rng.uniform(0.05, 0.8):.2f}{failure}', 'steps': [step]}
        for _ in range(4):
            reply = self._request(rng.choice(self._hosts.names), 'POST', record, body)
            if reply.status == 200:
                record.accepted = True
                record.accepted_at = time.monotonic()
                return
            record.in_doubt = record.in_doubt or reply.status not in REFUSED_STATUSES
            time.sleep(0.3)

    def _cancel_in_doubt(self, record: JobRecord, rng: random.Random) -> None:
        """Cancel a job that may have been accepted, until a host answers that it is gone."""
        for _ in range(4):
            status = self._request(rng.choice(self._hosts.names), 'DELETE', record).status
            if status in {200, HTTP_GONE}:
                record.cancelled_at = time.monotonic()
                return
            time.sleep(0.3)

    def _ask_for_state(self, host: str, record: JobRecord) -> Reply:
        """Ask a host for the state of a job, and check the reply against earlier ones."""
        asked_at = time.monotonic()
        reply = self._request(host, 'GET', record)
        state = reply.body.get('state', '')
        if state == 'completed' and record.completed_at is None:
            record.completed_at = time.monotonic()
        if record.completed_at is not None and record.completed_at < asked_at:
            if state and state != 'completed':
                self.tally.violations.append(
                    f'{record.path} was completed and is {state} at {host}'
                )
        if state == 'failed' and not record.crashes_runners:
            self.tally.violations.append(
                f'{record.path} is shown as failed at {host}, and its tasks neither fail nor crash'
            )
        age = asked_at - record.accepted_at
        is_kept = record.accepted and 0 < age < STATUS_SECONDS
        if reply.status == HTTP_GONE and is_kept:
            self.tally.violations.append(
                f'{record.path} was accepted {age:.1f} s ago and is unknown at {host}'
            )
        return reply

    def _request(
        self, host: str, method: str, record: JobRecord, body: dict | None = None
    ) -> Reply:
        """Send a request as the client of the job, with its API key if it has an account."""
        if self._accounts is None:
            return self._hosts.request(host, method, record.path, body)
        account = self._accounts.account_of(record.client)
        self._accounts.account_by_job[record.path.rpartition('/')[2]] = account
        key: Key = self._accounts.key_for(account)
        sent_at = time.monotonic()
        reply = self._hosts.request(host, method, record.path, body, key=key.text)
        self._accounts.check_reply(key, sent_at, reply.status)
        return reply

    def _inject_faults(self) -> None:
        end_at = time.monotonic() + self._seconds
        faults = (
            self._kill,
            self._pause,
            self._stop,
            self._store_down,
            self._store_lossy,
            self._store_slow,
            self._cut_link,
            self._cut_link,
            self._crash_runner,
        )
        if self._is_planned:
            faults = (self._stop, self._stop, self._reload, self._store_slow)
        while time.monotonic() < end_at:
            fault = self._random.choice(faults)
            self.tally.faults[fault.__name__.strip('_')] += 1
            fault(self._random.uniform(*FAULT_LENGTH))
            time.sleep(self._random.uniform(*FAULT_GAP))

    def _write_foreign_entries(self) -> None:
        """Run another writer now and then.

        Its times come from a generator of their own, so that they do not change the other
        faults of a seed.
        """
        rng = random.Random(f'{self._seed}/entries')
        while not self._stopping.wait(rng.uniform(*FAULT_GAP)):
            writer = self._platform.make_other_writer(f'{self._seed}/{rng.random()}')
            writer.start()
            self._stopping.wait(rng.uniform(*FAULT_LENGTH))
            with self._lock:
                writer.stop()
            self.tally.faults['other_writer'] += 1

    def _change_capacities(self) -> None:
        """Change the capacity of runners, at times from a generator of their own."""
        rng = random.Random(f'{self._seed}/rooms')
        while not self._stopping.wait(rng.uniform(*FAULT_GAP)):
            runner = rng.choice(self._platform.runners)
            with self._lock:
                if runner.is_down:
                    continue
                runner.resize(rng.choice(RUNNER_CPUS))
                self._platform.register(runner)
            self.tally.faults['change_room'] += 1

    def _submit_crashing_jobs(self) -> None:
        """Submit jobs whose tasks crash their runners, at times from a generator of their own."""
        rng = random.Random(f'{self._seed}/culprits')
        count = 0
        while not self._stopping.wait(rng.uniform(*CRASHING_JOB_GAP)):
            count += 1
            job = (CLIENT_COUNT << 32) + count
            record = JobRecord(f'/plain/{job:016x}', rng.randint(1, 2), crashes_runners=True)
            self.tally.jobs.append(record)
            self._submit(record, rng)

    def _restart_in_the_dark(self) -> None:
        """Let machines lose power and come back while starts are sent to them.

        Times come from a generator of their own.
        """
        rng = random.Random(f'{self._seed}/dark')
        while not self._stopping.wait(rng.uniform(*DARK_GAP)):
            for _ in range(rng.randint(*DARK_SERIES)):
                with self._lock:
                    dark = [
                        runner
                        for runner in self._platform.runners
                        if not runner.is_down and rng.random() < DARK_SHARE
                    ]
                    for runner in dark:
                        runner.crash(is_dark=True)
                time.sleep(rng.uniform(*DARK_LENGTH))
                with self._lock:
                    for runner in dark:
                        runner.restart()
                time.sleep(rng.uniform(*DARK_ENTRY_DELAY))
                with self._lock:
                    for runner in dark:
                        self._platform.register(runner)
                self.tally.faults['restart_in_the_dark'] += len(dark)

    def _schedule(self, seconds: float, callback: object, *args: object) -> None:
        timer = Timer(seconds, callback, args)
        self._timers.append(timer)
        timer.start()

    def _kill(self, seconds: float) -> None:
        name = self._random.choice(self._hosts.names)
        self._stops.record_disturbance(name)
        self._hosts.send_signal(name, signal.SIGKILL)
        self._schedule(seconds / 4, self._restart_host, name)

    def _stop(self, seconds: float) -> None:
        name = self._random.choice(self._hosts.names)
        self._stops.stop(name)
        self._schedule(5 + seconds / 4, self._restart_host, name)

    def _reload(self, seconds: float) -> None:
        self._hosts.send_signal(self._random.choice(self._hosts.names), signal.SIGHUP)

    def _restart_host(self, name: str) -> None:
        with self._lock:
            process = self._hosts.process_by_name[name]
            if process.poll() is not None:
                self._hosts.start(name)

    def _pause(self, seconds: float) -> None:
        name = self._random.choice(self._hosts.names)
        self._stops.record_disturbance(name)
        self._hosts.send_signal(name, signal.SIGSTOP)
        self._schedule(seconds, self._resume, name)

    def _resume(self, name: str) -> None:
        self._stops.record_disturbance(name)
        self._hosts.send_signal(name, signal.SIGCONT)

    def _store_down(self, seconds: float) -> None:
        self._platform.store.faults.down = True
        self._schedule(seconds / 2, setattr, self._platform.store.faults, 'down', False)

    def _store_lossy(self, seconds: float) -> None:
        self._platform.store.faults.lose_share = 0.3
        self._schedule(seconds, setattr, self._platform.store.faults, 'lose_share', 0.0)

    def _store_slow(self, seconds: float) -> None:
        self._platform.store.faults.delay = 0.2
        self._schedule(seconds, setattr, self._platform.store.faults, 'delay', 0.0)

    def _cut_link(self, seconds: float) -> None:
        link = self._random.choice(self._links)
        directions = [Cut(ANY_NAME, link), Cut(link, ANY_NAME)]
        cuts = self._random.choice((directions, directions[:1], directions[1:]))
        self._change_cuts(cuts, add=True)
        self._schedule(seconds, self._change_cuts, cuts)

    def _change_cuts(self, cuts: list[Cut], *, add: bool = False) -> None:
        with self._lock:
            for cut in cuts:
                if add:
                    self._cuts.append(cut)
                else:
                    self._cuts.remove(cut)
            self._platform.link_faults.replace(Cuts(tuple(self._cuts)))

    def _crash_runner(self, seconds: float) -> None:
        runner = self._random.choice(self._platform.runners)
        if not runner.is_down:
            runner.crash()
            self._schedule(seconds, self._restart_runner, runner)

    def _restart_runner(self, runner: PlatformRunner) -> None:
        with self._lock:
            if runner.reports_incarnation:
                runner.restart()
                self._platform.register(runner)
                return
            self._runner_restarts += 1
            self._platform.store.put('keyed.servers', runner.name, None)
            runner.restart(f'i-again-{self._runner_restarts}')
            self._platform.register(runner)

    def _heal(self) -> None:
        for timer in self._timers:
            timer.join()
        for name in self._hosts.names:
            self._restart_host(name)
        if self._accounts is not None:
            self._accounts.restore_quotas()

    def _check_results(self) -> None:
        violations = self.tally.violations
        violations.extend(self._stops.check_results())
        self.tally.answered_during_stops = self._stops.answered
        if self._accounts is not None:
            violations.extend(self._accounts.check_results(self._hosts))
            self.tally.faults['accounts'] = self._accounts.changes
        for record in self.tally.jobs:
            try:
                wait_for(lambda record=record: self._has_ended(record))
            except TimeoutError:
                if record.accepted:
                    violations.append(f'{record.path} was accepted but has not ended')
        runs = self._platform.collect_runs()
        violations.extend(f'{task} ran twice' for task in find_duplicate_runs(runs))
        violations.extend(
            f'{runner} was overallocated' for runner in find_overallocated_runners(runs)
        )
        starts_over_capacity = find_starts_over_capacity(
            runs, self._platform.capacity_changes_by_name
        )
        violations.extend(
            f'{start} was started over the capacity of its runner' for start in starts_over_capacity
        )
        crashes = count_crashes_by_task(runs)
        for task, count in crashes.items():
            if count > MAX_CRASHES and self._crashes_runners(task):
                violations.append(f'{task} crashed {count} runners')
        jobs = {run.task.split('.')[0] for run in runs}
        for record in self.tally.jobs:
            job = record.path.rpartition('/')[2]
            most_crashes = max(
                (crashes[task] for task in crashes if task.startswith(job)), default=0
            )
            given_up = record.accepted and self._reported_state(record) == 'failed'
            if given_up and most_crashes < MIN_CRASHES:
                violations.append(f'{record.path} was given up after {most_crashes} crashes')
            if record.crashes_runners and record.accepted and not given_up:
                violations.append(
                    f'{record.path} crashed {most_crashes} runners and is not reported as failed'
                )
            violations.extend(
                f'{run.task} was started after its job was shown as completed'
                for run in runs
                if run.task.startswith(job)
                and record.completed_at is not None
                and run.began > record.completed_at + LATE_START_SECONDS
            )
            violations.extend(
                f'{run.task} was started after its job in doubt was cancelled'
                for run in runs
                if run.task.startswith(job)
                and record.cancelled_at is not None
                and run.began > record.cancelled_at + CANCELLED_START_SECONDS
            )
            if not record.accepted and not record.in_doubt and job in jobs:
                violations.append(f'{record.path} was refused but ran')
            # An end that the runner lost in a crash (unread) may have been noted by the owner.
            done = {
                run.task
                for run in runs
                if run.outcome in DONE_OUTCOMES and run.task.startswith(job)
            }
            # The end of one task counts for its whole gang.
            expected = 1 if record.gang else record.tasks
            must_be_done = record.accepted and not record.cancelled and not given_up
            missing = must_be_done and len(done) < expected
            if missing and record.cancel_in_doubt:
                missing = self._reported_state(record) != 'cancelled'
            if missing:
                violations.append(f'{record.path}: {len(done)} of {record.tasks} tasks were done')

    def _crashes_runners(self, task: str) -> bool:
        job = task.split('.')[0]
        return any(
            record.crashes_runners and record.path.endswith(job) for record in self.tally.jobs
        )

    def _reported_state(self, record: JobRecord) -> str:
        """Return the state of a job according to the first host that knows it."""
        replies = (self._ask_for_state(name, record) for name in self._hosts.names)
        return next((reply.body['state'] for reply in replies if 'state' in reply.body), '')

    def _has_ended(self, record: JobRecord) -> bool:
        """Return whether a host reports a final state, or 410: the job is gone."""
        for name in self._hosts.names:
            reply = self._ask_for_state(name, record)
            if reply.status == HTTP_GONE or reply.body.get('state') in FINAL_STATES:
                return True
        return False


def main() -> int:
    """Run the soak with one seed; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--runners', type=int, default=4)
    parser.add_argument('--restarts', action='store_true')
    parser.add_argument('--accounts', action='store_true')
    parser.add_argument('--planned', action='store_true')
    options = parser.parse_args()
    soak = PlatformSoak(
        options.seed,
        options.seconds,
        options.hosts,
        options.runners,
        restarts=options.restarts,
        accounts=options.accounts,
        planned=options.planned,
    )
    tally = soak.run()
    accepted = sum(record.accepted for record in tally.jobs)
    sys.stdout.write(
        f'seed {options.seed}: {len(tally.jobs)} jobs, {accepted} accepted; '
        f'faults {dict(tally.faults)}; {tally.answered_during_stops} answered during stops; '
        f'{len(tally.violations)} promises broken\n'
    )
    for line in tally.violations:
        sys.stdout.write(f'  {line}\n')
    return 1 if tally.violations else 0


if __name__ == '__main__':
    sys.exit(main())
