"""Seeded random faults on entry hosts and their platform: ``make platform-soak``.

Jobs are handed in, asked for and cancelled while hosts are killed, paused and
stopped, links to the store and to runners are cut in one or both directions, the
store is down, slow or loses answers, runners crash and come back (under other ids, or restart under
the ids that they had with ``--restarts``), change their room, keys and quotas of client
accounts change with ``--accounts``, or runners
are crashed by tasks, and another writer fills the runners' topic with bad entries. Faults
overlap. Then all heals, every accepted job must end, and the runners' own records and the
clients' answers judge.
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
from standins import (
    ANYONE,
    Cut,
    Cuts,
    EntryHosts,
    PlatformRunner,
    Reply,
    UsersPlatform,
    crashes_by_task,
    doubled_runs,
    overfull,
    started_over,
    wait_for,
)

CLIENTS = 3
#: Seconds between faults, and how long one lasts.
FAULT_GAP = (0.3, 1.5)
FAULT_LENGTH = (0.3, 4.0)
#: Processors that a runner may say it has, in thousandths.
ROOMS = (3000, 5000, 8000)
#: Seconds between two jobs whose tasks crash their runners.
CULPRIT_GAP = (1.0, 4.0)
#: Runners that one task may crash, and that must have crashed under one that is given up.
MOST_CRASHES = 5
FEWEST_CRASHES = 2
DONE = frozenset(('done', 'unread'))
#: No answer, or one that says that nobody knows.
UNANSWERED = frozenset((0, 504))
#: An answer that says that the job was not taken.
REFUSALS = frozenset((401, 429, 503))
ENDED = frozenset(('completed', 'failed', 'cancelled'))


@dataclass
class Asked:
    """One job and what its client was told."""

    path: str
    tasks: int
    gang: bool = False
    #: Whether its tasks crash the runners that start them.
    culprit: bool = False
    #: The number of its client.
    client: int = 0
    accepted: bool = False
    maybe: bool = False
    cancelled: bool = False
    #: A cancellation was sent and not answered: it may have taken effect.
    maybe_cancelled: bool = False


@dataclass
class Tally:
    """What a soak has done, and which promises it found broken."""

    jobs: list[Asked] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


class PlatformSoak:
    """One run; ``seed`` draws all faults and all work."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        hosts: int = 3,
        runners: int = 4,
        *,
        restarts: bool = False,
        accounts: bool = False,
    ) -> None:
        """Prepare the platform and the hosts; with ``restarts`` runners keep their ids.

        With ``accounts`` each client has one, whose keys and quota change all the while.
        """
        self._seed = seed
        self._random = random.Random(seed)
        self._seconds = seconds
        self._platform = UsersPlatform(runners, seed, tells_incarnation=restarts)
        self._hosts = EntryHosts(self._platform, hosts, block=2 + seed % 200)
        for name in self._hosts.names:
            self._platform.relay(f'store-{name}', 'store')
        for runner in self._platform.runners:
            self._platform.relay(f'relay-{runner.name}', runner.name)
        self._links = [f'store-{name}' for name in self._hosts.names]
        self._links += [f'relay-{runner.name}' for runner in self._platform.runners]
        self._has_accounts = accounts
        self._accounts: SoakAccounts | None = None
        self._cuts: list[Cut] = []
        self._lock = Lock()
        self._over = Event()
        self._timers: list[Timer] = []
        self._lives = 0
        self.tally = Tally()

    def run(self) -> Tally:
        """Run, heal, judge."""
        with ExitStack() as stack:
            self._platform.start()
            stack.callback(self._platform.stop)
            self._configure()
            stack.callback(self._hosts.close)
            for name in self._hosts.names:
                self._hosts.start(name)
            self._hosts.wait_ready()
            with ThreadPoolExecutor(CLIENTS + 4) as pool:
                seeds = [self._random.random() for _ in range(CLIENTS)]
                for number, seed in enumerate(seeds):
                    pool.submit(self._be_client, number, random.Random(seed))
                pool.submit(self._disturb_entries)
                pool.submit(self._change_rooms)
                pool.submit(self._hand_in_culprits)
                if self._accounts is not None:
                    pool.submit(self._accounts.change_until, self._over)
                self._break_things()
                self._over.set()
            self._heal()
            self._judge()
            if self.tally.violations:
                for name in self._hosts.names:
                    sys.stdout.write(f'--- {name}\n{self._hosts.log_of(name)[-200_000:]}')
        return self.tally

    def _configure(self) -> None:
        if self._has_accounts:
            self._accounts = SoakAccounts(self._platform, self._seed)
        else:
            self._platform.configure()

    def _be_client(self, number: int, draw: random.Random) -> None:
        count = 0
        while not self._over.is_set():
            count += 1
            job = (number << 32) + count
            queue = draw.choice(('plain', 'advised'))
            asked = Asked(f'/{queue}/{job:016x}', draw.randint(1, 4), client=number)
            self.tally.jobs.append(asked)
            self._hand_in(asked, draw)
            if asked.accepted and draw.random() < 0.1:
                time.sleep(draw.random() * 0.3)
                host = draw.choice(self._hosts.names)
                status = self._ask(host, 'DELETE', asked).status
                asked.cancelled = status == 200
                asked.maybe_cancelled = status in UNANSWERED
            time.sleep(draw.random() * 0.3)

    def _hand_in(self, asked: Asked, draw: random.Random) -> None:
        cpu = draw.choice((500, 1500, 3000))
        step = {
            'count': asked.tasks,
            'cpu': cpu,
            'mem_mb': 10,
            'estimate_ms': 200,
        }
        if draw.random() < 0.3:
            asked.gang = True
            step['gang'] = True
        fate = ' crash' if asked.culprit else ''
        body = {'spec': f'{cpu} {draw.uniform(0.05, 0.8):.2f}{fate}', 'steps': [step]}
        for _ in range(4):
            reply = self._ask(draw.choice(self._hosts.names), 'POST', asked, body)
            if reply.status == 200:
                asked.accepted = True
                return
            asked.maybe = asked.maybe or reply.status not in REFUSALS
            time.sleep(0.3)

    def _ask(self, host: str, method: str, asked: Asked, body: dict | None = None) -> Reply:
        """Ask as the job's client does, with its key if it has one."""
        if self._accounts is None:
            return self._hosts.ask(host, method, asked.path, body)
        account = self._accounts.account_of(asked.client)
        self._accounts.account_by_job[asked.path.rpartition('/')[2]] = account
        key: Key = self._accounts.key_for(account)
        sent_at = time.monotonic()
        reply = self._hosts.ask(host, method, asked.path, body, key=key.text)
        self._accounts.check_reply(key, sent_at, reply.status)
        return reply

    def _break_things(self) -> None:
        until = time.monotonic() + self._seconds
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
        while time.monotonic() < until:
            fault = self._random.choice(faults)
            self.tally.faults[fault.__name__.strip('_')] += 1
            fault(self._random.uniform(*FAULT_LENGTH))
            time.sleep(self._random.uniform(*FAULT_GAP))

    def _disturb_entries(self) -> None:
        """Let another writer write every now and then.

        Its times are drawn apart, so that the other faults of a seed stay what they were.
        """
        draw = random.Random(f'{self._seed}/entries')
        while not self._over.wait(draw.uniform(*FAULT_GAP)):
            writer = self._platform.make_other_writer(f'{self._seed}/{draw.random()}')
            writer.start()
            self._over.wait(draw.uniform(*FAULT_LENGTH))
            with self._lock:
                writer.stop()
            self.tally.faults['other_writer'] += 1

    def _change_rooms(self) -> None:
        """Let runners have less room or more, with times drawn apart as for entries."""
        draw = random.Random(f'{self._seed}/rooms')
        while not self._over.wait(draw.uniform(*FAULT_GAP)):
            runner = draw.choice(self._platform.runners)
            with self._lock:
                if runner.dark:
                    continue
                runner.resize(draw.choice(ROOMS))
                self._platform.register(runner)
            self.tally.faults['change_room'] += 1

    def _hand_in_culprits(self) -> None:
        """Hand in jobs whose tasks crash their runners, with times drawn apart."""
        draw = random.Random(f'{self._seed}/culprits')
        count = 0
        while not self._over.wait(draw.uniform(*CULPRIT_GAP)):
            count += 1
            job = (CLIENTS << 32) + count
            asked = Asked(f'/plain/{job:016x}', draw.randint(1, 2), culprit=True)
            self.tally.jobs.append(asked)
            self._hand_in(asked, draw)

    def _later(self, seconds: float, heal: object, *args: object) -> None:
        timer = Timer(seconds, heal, args)
        self._timers.append(timer)
        timer.start()

    def _kill(self, seconds: float) -> None:
        name = self._random.choice(self._hosts.names)
        self._hosts.send(name, signal.SIGKILL)
        self._later(seconds / 4, self._start_again, name)

    def _stop(self, seconds: float) -> None:
        name = self._random.choice(self._hosts.names)
        self._hosts.send(name, signal.SIGTERM)
        self._later(5 + seconds / 4, self._start_again, name)

    def _start_again(self, name: str) -> None:
        with self._lock:
            process = self._hosts.process_by_name[name]
            if process.poll() is not None:
                self._hosts.start(name)

    def _pause(self, seconds: float) -> None:
        name = self._random.choice(self._hosts.names)
        self._hosts.send(name, signal.SIGSTOP)
        self._later(seconds, self._hosts.send, name, signal.SIGCONT)

    def _store_down(self, seconds: float) -> None:
        self._platform.store.faults.down = True
        self._later(seconds / 2, setattr, self._platform.store.faults, 'down', False)

    def _store_lossy(self, seconds: float) -> None:
        self._platform.store.faults.lose_share = 0.3
        self._later(seconds, setattr, self._platform.store.faults, 'lose_share', 0.0)

    def _store_slow(self, seconds: float) -> None:
        self._platform.store.faults.delay = 0.2
        self._later(seconds, setattr, self._platform.store.faults, 'delay', 0.0)

    def _cut_link(self, seconds: float) -> None:
        link = self._random.choice(self._links)
        ways = [Cut(ANYONE, link), Cut(link, ANYONE)]
        cuts = self._random.choice((ways, ways[:1], ways[1:]))
        self._change_cuts(cuts, add=True)
        self._later(seconds, self._change_cuts, cuts)

    def _change_cuts(self, cuts: list[Cut], *, add: bool = False) -> None:
        with self._lock:
            for cut in cuts:
                if add:
                    self._cuts.append(cut)
                else:
                    self._cuts.remove(cut)
            self._platform.wire.replace(Cuts(tuple(self._cuts)))

    def _crash_runner(self, seconds: float) -> None:
        runner = self._random.choice(self._platform.runners)
        if not runner.dark:
            runner.crash()
            self._later(seconds, self._revive, runner)

    def _revive(self, runner: PlatformRunner) -> None:
        with self._lock:
            if runner.tells_incarnation:
                runner.revive()
                self._platform.register(runner)
                return
            self._lives += 1
            self._platform.store.put('keyed.servers', runner.name, None)
            runner.revive(f'i-again-{self._lives}')
            self._platform.register(runner)

    def _heal(self) -> None:
        for timer in self._timers:
            timer.join()
        for name in self._hosts.names:
            self._start_again(name)
        if self._accounts is not None:
            self._accounts.settle()

    def _judge(self) -> None:
        wrong = self.tally.violations
        if self._accounts is not None:
            wrong.extend(self._accounts.judge(self._hosts))
            self.tally.faults['accounts'] = self._accounts.changes
        for asked in self.tally.jobs:
            try:
                wait_for(lambda asked=asked: self._has_ended(asked))
            except TimeoutError:
                if asked.accepted:
                    wrong.append(f'{asked.path} was accepted and has not ended')
        runs = self._platform.settle()
        wrong.extend(f'{task} ran twice' for task in doubled_runs(runs))
        wrong.extend(f'{runner} was overfull' for runner in overfull(runs))
        over = started_over(runs, self._platform.rooms_by_name)
        wrong.extend(f'{start} was started over its room' for start in over)
        crashes = crashes_by_task(runs)
        for task, count in crashes.items():
            if count > MOST_CRASHES and self._is_culprit(task):
                wrong.append(f'{task} crashed {count} runners')
        jobs = {run.task.split('.')[0] for run in runs}
        for asked in self.tally.jobs:
            job = asked.path.rpartition('/')[2]
            most = max((crashes[task] for task in crashes if task.startswith(job)), default=0)
            given_up = asked.accepted and self._state(asked) == 'failed'
            if given_up and most < FEWEST_CRASHES:
                wrong.append(f'{asked.path} was given up after {most} crashes')
            if asked.culprit and asked.accepted and not given_up:
                wrong.append(f'{asked.path} crashed {most} runners and is not told as failed')
            if not asked.accepted and not asked.maybe and job in jobs:
                wrong.append(f'{asked.path} was refused and ran')
            # An end that its runner took with it may have been noted before.
            done = {run.task for run in runs if run.how in DONE and run.task.startswith(job)}
            # The end of one member stands for its gang.
            wanted = 1 if asked.gang else asked.tasks
            # One under which two runners have crashed may be given up.
            owed = asked.accepted and not asked.cancelled and not given_up
            missing = owed and len(done) < wanted
            if missing and asked.maybe_cancelled:
                missing = self._state(asked) != 'cancelled'
            if missing:
                wrong.append(f'{asked.path}: {len(done)} of {asked.tasks} tasks were done')

    def _is_culprit(self, task: str) -> bool:
        job = task.split('.')[0]
        return any(asked.culprit and asked.path.endswith(job) for asked in self.tally.jobs)

    def _state(self, asked: Asked) -> str:
        """Return the state that the first host tells."""
        replies = (self._ask(name, 'GET', asked) for name in self._hosts.names)
        return next((reply.body['state'] for reply in replies if 'state' in reply.body), '')

    def _has_ended(self, asked: Asked) -> bool:
        """Return whether a host tells an end, or that there is no such job."""
        for name in self._hosts.names:
            reply = self._ask(name, 'GET', asked)
            if reply.status == 410 or reply.body.get('state') in ENDED:
                return True
        return False


def main() -> int:
    """Run one seed; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--runners', type=int, default=4)
    parser.add_argument('--restarts', action='store_true')
    parser.add_argument('--accounts', action='store_true')
    options = parser.parse_args()
    soak = PlatformSoak(
        options.seed,
        options.seconds,
        options.hosts,
        options.runners,
        restarts=options.restarts,
        accounts=options.accounts,
    )
    tally = soak.run()
    accepted = sum(asked.accepted for asked in tally.jobs)
    sys.stdout.write(
        f'seed {options.seed}: {len(tally.jobs)} jobs, {accepted} accepted; '
        f'faults {dict(tally.faults)}; {len(tally.violations)} promises broken\n'
    )
    for line in tally.violations:
        sys.stdout.write(f'  {line}\n')
    return 1 if tally.violations else 0


if __name__ == '__main__':
    sys.exit(main())
