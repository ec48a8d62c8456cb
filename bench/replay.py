"""Plays drawn arrivals against the cell's own decisions, in virtual time.

``make bench-replay``: the real ``Cell`` and ``Planner`` decide; runners, the policy
service and the hosts that ask it are played here. Prints, for each policy, what the
jobs earned, how late they were by kind, and what was thrown away.
"""

import argparse
import heapq
import itertools
import random
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bench.replay_report import Tally, tell_result
from dandelionreel.accounts import Account, AccountDirectory, weighted_share
from dandelionreel.cell.decisions import AdviceRequest, Allocation, Cell, Planner
from dandelionreel.cell.decisions._preemption import Preemption, PreemptionPlan
from dandelionreel.cell.decisions._reservations import Rank
from dandelionreel.cell.decisions._waiting import RankInputs, WaitingOrder, WithinRateFirst
from dandelionreel.cell.membership._advisors import NON_URGENT_SHARE
from dandelionreel.cell.model import (
    AdvicePolicy,
    Configuration,
    Demand,
    EndedRun,
    JobSpec,
    JobState,
    Outcome,
    Permit,
    Queue,
    Registration,
    RunnerView,
    RunningTask,
    Service,
    StartReply,
    Step,
    Submission,
)
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._predecessor_leases import lease_upper_bound
from dandelionreel.cell.store import StoredJob

#: Seconds: an order's way, a stop, a restart from a checkpoint, and between plans.
ORDER_SECONDS = 0.004
STOP_SECONDS = 0.2
RESTORE_SECONDS = 0.1
PLAN_SECONDS = 0.01
CAPACITY = Demand(32_000, 65_536, 0)
#: Seconds by which a lease is shorter when its runner is cut off: half of the time between
#: looks in the mean.
LEASE_AGE = 0.75
#: A job earns all in time, a fifth up to three objectives, then nothing.
LATE_WORTH = 0.2
UNLIMITED_GPU = 2**40
MILLI = 1000
LATEST = 3.0
#: How finely shares of accounts are told apart.
SHARE_STEPS = 10_000
#: A large job earns up to this many times what its kind earns in the mean.
MOST_WEIGHT = 4.0


@dataclass(frozen=True)
class Kind:
    """Jobs of one queue; durations in seconds, ``per_second`` arrivals."""

    queue: Queue
    per_second: float
    worth: float
    steps: float
    width: float
    cpu: float
    memory_mb: float
    seconds: float
    guess: float
    allowed: float
    gang: float = 0
    saves: float = 0
    fails: float = 0
    burst: tuple[float, float, float] = (0, 0, 1)

    def rate(self, now: float) -> float:
        """Return the arrivals a second, more during the burst."""
        begins, ends, times = self.burst
        return self.per_second * (times if begins <= now < ends else 1)


def _queue(name: str, priority: int, attempts: int, slack: float, latency: float, *advice: float):
    policy = AdvicePolicy(*advice)
    return Queue(name, 'h', f'/{name}/', 'desk', priority, attempts, slack, latency, 3, policy)


@dataclass(frozen=True)
class Cut:
    """A zone whose runners are out of reach for a while."""

    zone: int
    begins: float
    seconds: float


@dataclass(frozen=True)
class Accounts:
    """Client accounts of very different sizes, of which one sends much more for a while.

    Each may run ``quota`` times its usual, and expects so many times its usual rate.
    """

    count: int = 20
    quota: float = 1.9
    rate: float = 1.9
    #: The rank of the hot account by size, since when, until when and how many times as much.
    hot: tuple[int, float, float, float] = (3, 0.0, 0.0, 1.0)

    def shares(self) -> list[float]:
        """Return the part of all jobs that each account usually sends."""
        sizes = [1 / (number + 1) for number in range(self.count)]
        return [size / sum(sizes) for size in sizes]

    def factor(self, number: int, now: float) -> float:
        """Return how many times its usual an account sends."""
        rank, begins, ends, times = self.hot
        return times if number == rank and begins <= now < ends else 1.0


@dataclass(frozen=True)
class Load:
    """A cell and what comes to it."""

    runners: int
    hosts: int
    kinds: tuple[Kind, ...]
    #: Seconds at the beginning in which jobs arrive and nothing starts.
    outage: float = 0.0
    zones: int = 1
    per_rack: int = 8
    cut: Cut | None = None
    #: When the owner is lost, and for how many seconds nothing is planned then.
    takeover: tuple[float, float] = (0.0, 0.0)
    capacity: Demand = CAPACITY
    accounts: Accounts | None = None


def make_loads() -> dict[str, Load]:
    """Return the loads by name: nine tenths of the cores in use in the mean."""
    settle = _queue('settle', 1, 4, 2.2, 1.0, 0.44, 0.0064, 2.0)
    blend = _queue('blend', 2, 3, 4.0, 3.0, 0.13, 0.0018, 2.0)
    check = _queue('check', 0, 2, 1.5, 0.25, 0.012, 0.00017, 2.0)
    quiet = (
        Kind(settle, 3.0, 8.6, 1.2, 20, 9000, 13_000, 4.0, 0.2, 0.3, 1.0, 0.5, 0.005),
        Kind(blend, 4.9, 3.2, 1.5, 25, 3500, 5000, 2.7, 0.5, 0.45, 0, 0.8, 0.005),
        Kind(check, 55, 0.41, 1.0, 3, 5000, 9100, 0.8, 0.9, 0.7, 0.3, 0, 0.05),
    )
    bursts = tuple(
        Kind(**{**vars(kind), 'burst': (5, 9, 2) if kind.queue is settle else (12, 16, 2)})
        for kind in quiet
    )
    return {
        'quiet': Load(176, 35, quiet),
        'bursts': Load(176, 35, bursts),
        # The store is away for 6 s, and a quarter of the hosts for longer.
        'outage': Load(176, 26, bursts, outage=6.0),
        'zones': _make_zones_load(),
        'backlog': _make_backlog_load(),
        'accounts': _make_accounts_load(),
        'hot account': _make_accounts_load(Accounts(hot=(3, 4, 12, 9.0))),
    }


def _make_accounts_load(accounts: Accounts = Accounts()) -> Load:
    """Return a cell of 20 accounts, with bursts of one kind and then of another."""
    settle = _queue('settle', 1, 2, 2.2, 1.0, 0.455, 0.0065, 2.0)
    recon = _queue('recon', 2, 2, 4.0, 3.0, 0.13, 0.00182, 2.0)
    check = _queue('check', 0, 3, 1.5, 0.25, 0.0143, 0.00021, 2.0)
    kinds = (
        Kind(settle, 2.2, 7.19, 1.2, 20, 4500, 8100, 4.0, 0.2, 0.3, 1, 0.5, 0.01, (19, 23, 1.7)),
        Kind(recon, 6.4, 2.69, 1.5, 25, 1700, 3200, 2.7, 0.5, 0.45, 0, 0.8, 0.05),
        Kind(check, 33, 0.421, 1, 3.2, 2500, 2500, 1.0, 0.9, 0.7, 0.3, 0, 0.05, (7, 11, 2)),
    )
    half = Demand(16_000, 32_768, 0)
    return Load(176, 45, kinds, 0, 4, 12, capacity=half, accounts=accounts)


def _make_zones_load() -> Load:
    """Return a cell of six zones: an owner is lost in a burst, then a zone is cut off."""
    settle = _queue('settle', 1, 4, 2.2, 1.0, 0.637, 0.0091, 2.0)
    blend = _queue('blend', 2, 3, 4.0, 3.0, 0.182, 0.0026, 2.0)
    check = _queue('check', 0, 2, 1.5, 0.25, 0.026, 0.00036, 2.0)
    kinds = (
        Kind(settle, 3.6, 5.66, 1.2, 16, 9000, 9400, 6.2, 0.5, 0.3, 1, 0.5, 0.02, (20, 24, 1.8)),
        Kind(blend, 6.0, 2.12, 1.5, 19, 5500, 7900, 2.7, 0.2, 0.45, 0, 0.8, 0.05),
        Kind(check, 42, 0.418, 1, 3.1, 7900, 15_000, 1.0, 0.9, 0.7, 0.3, 0, 0.05, (9, 13, 2)),
    )
    cut = Cut(zone=5, begins=33.5, seconds=5.7)
    return Load(270, 97, kinds, 0, 6, 12, cut, takeover=(14.0, 2.0))


def _make_backlog_load() -> Load:
    """Return a cell in which nothing starts for 4 s, and then a zone of three is cut off."""
    settle = _queue('settle', 1, 2, 2.2, 1.0, 0.442, 0.00637, 1.5)
    blend = _queue('blend', 2, 2, 4.0, 3.0, 0.13, 0.00182, 1.5)
    check = _queue('check', 0, 2, 1.5, 0.25, 0.0143, 0.00021, 1.5)
    kinds = (
        Kind(settle, 2.9, 7.1, 1.2, 20, 18_000, 33_000, 4.0, 0.9, 0.25, 1, 0.5, 0.005),
        Kind(blend, 4.8, 2.7, 1.5, 25, 6900, 7100, 2.7, 0.2, 0.45, 0, 0.8, 0.02),
        Kind(check, 43, 0.42, 1, 3.2, 9900, 14_000, 1.0, 0.2, 0.7, 0.3, 0, 0.02, (6, 10, 2)),
    )
    cut = Cut(zone=1, begins=33.5, seconds=5.2)
    large = Demand(64_000, 131_072, 0)
    return Load(176, 33, kinds, 0, 3, 12, cut, takeover=(18.0, 4.2), capacity=large)


class Arrival(WaitingOrder):
    """Whoever came first is served first."""

    def rank(self, urgency: RankInputs) -> Rank:
        """Return the place of a step."""
        job = urgency.job
        return Rank(False, False, 0, 0, job.accepted_at, job.id, urgency.step.name)


class FirstCome(Planner):
    """A baseline: whoever came first is served first."""

    def __init__(self, cell: Cell) -> None:
        """Place the tasks of that cell."""
        super().__init__(cell, Arrival())


class NoPreemption(Preemption):
    """Nothing is stopped for anybody."""

    def plan_preemption(self, *asked: object) -> PreemptionPlan | None:
        """Return that there is no room."""
        return None


class Patient(Planner):
    """A baseline: gangs wait until their seats come free."""

    def __init__(self, cell: Cell) -> None:
        """Place the tasks of that cell."""
        super().__init__(cell)
        self._preemption = NoPreemption(cell)


class NoShares(WithinRateFirst):
    """Accounts do not matter: priority, then the earliest objective."""

    def rank(self, urgency: RankInputs) -> Rank:
        """Return the place of a step."""
        return super().rank(urgency)._replace(beyond_rate=False)


class SharesWithinQueues(WaitingOrder):
    """Strict order of queues; in each of them, the account with the least use for its weight."""

    def __init__(self, cell: Cell) -> None:
        """Share out that cell."""
        self._cell = cell
        self._whole = Demand()
        self._now = -1.0

    def rank(self, urgency: RankInputs) -> Rank:
        """Return the place of a step; its account's share stands for its lateness."""
        rank = WithinRateFirst().rank(urgency)._replace(beyond_rate=False)
        return rank._replace(lateness=int(SHARE_STEPS * self.share(urgency)))

    def share(self, urgency: RankInputs) -> float:
        """Return the weighted dominant share of a step's account."""
        if urgency.now != self._now:
            self._now = urgency.now
            self._whole = self._cell.capacity()
        account = self._cell.configuration.find_account(urgency.job.account)
        weight = account.weight if account else 1.0
        return weighted_share(self._cell.quotas.used(urgency.job.account), self._whole, weight)


class WeightedShares(SharesWithinQueues):
    """The account with the least use for its weight, over all queues."""

    def rank(self, urgency: RankInputs) -> Rank:
        """Return the place of a step; its account's share goes before its queue."""
        rank = WithinRateFirst().rank(urgency)._replace(beyond_rate=False)
        return rank._replace(
            priority=int(SHARE_STEPS * self.share(urgency)), lateness=rank.priority
        )


POLICIES: dict[str, Callable[[Cell], Planner]] = {
    'as built': Planner,
    'no preemption': Patient,
    'first come, first served': FirstCome,
    'no shares': lambda cell: Planner(cell, NoShares()),
    'shares within queues': lambda cell: Planner(cell, SharesWithinQueues(cell)),
    'weighted shares': lambda cell: Planner(cell, WeightedShares(cell)),
}


class Replay:
    """One policy on one load."""

    def __init__(self, load: Load, policy: Callable[[Cell], Planner], seed: int) -> None:
        """Draw from ``seed``; the draws do not depend on the policy."""
        self.load = load
        self.cell = Cell(1, 3.0)
        queues = tuple(kind.queue for kind in load.kinds)
        directory = None if load.accounts is None else AccountDirectory(make_accounts(load))
        self.cell.configuration = Configuration(
            1, queues, (Service('desk', False, False),), 9999, directory
        )
        self.tally_by_account: dict[str, Tally] = {}
        self.planner = policy(self.cell)
        self.tally_by_queue = {kind.queue.name: Tally() for kind in load.kinds}
        self.wasted = 0.0
        self.plan_seconds: list[float] = []
        self._random = random.Random(seed)
        self._seed = seed
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, AdviceRequest]] = []
        self._busy = {True: 0, False: 0}
        self._weight_by_job: dict[str, float] = {}
        #: Of each job that is owed, what it is worth and how many core-seconds it takes.
        self._owed_work: list[tuple[float, float]] = []
        self._begun: set[str] = set()
        #: Runs at work by runner: when each began, how long it takes, what was saved.
        self._work: dict[str, dict[tuple, tuple[float, float, float]]] = {}
        self._ends = itertools.count(1)
        #: What runners out of reach have ended meanwhile.
        self._unseen_by_runner: dict[str, list[EndedRun]] = {}
        self._add_runners()

    def play(self, seconds: float) -> None:
        """Let jobs arrive for that long, and go on until the last objectives are over."""
        for kind in self.load.kinds:
            self._later(self._random.expovariate(kind.rate(0)), self._arrive, kind, seconds)
        self._later(max(PLAN_SECONDS, self.load.outage), self._plan, 3 * seconds)
        if self.load.cut is not None:
            self._later(self.load.cut.begins, self._cut_off, self.load.cut)
        while self._events:
            self._now, _, act, values = heapq.heappop(self._events)
            act(*values)

    @property
    def bound(self) -> float:
        """Return what would be earned if runners lost no moment to waiting and to packing.

        All arrivals are known to it, and work can be split: the most worthwhile goes first.
        """
        room = self.load.runners * self.load.capacity.cpu / MILLI * (self._now or 1.0)
        earned = 0.0
        for weight, work in sorted(self._owed_work, key=_worth_a_core_second):
            part = min(1.0, room / max(work, 1e-9))
            room -= part * work
            earned += part * weight
        return earned

    def _later(self, delay: float, act: Callable[..., None], *values: object) -> None:
        heapq.heappush(self._events, (self._now + delay, next(self._order), act, values))

    def _add_runners(self) -> None:
        registrations = {}
        for number in range(self.load.runners):
            zone = number * self.load.zones // self.load.runners
            labels = ('a', f'r-{number // self.load.per_rack}')
            name = f'w{number}'
            registrations[name] = Registration(
                name, 'desk', '10.0.0.1', number, f'zone-{zone}', self.load.capacity, labels, False
            )
            self._work[name] = {}
        self.cell.update_runners(registrations, 0)
        for name, state in self.cell.runner_by_id.items():
            state.recorded = True
            self._poll_once(name)

    def _poll_once(self, runner: str, *ended: EndedRun) -> None:
        running = tuple(RunningTask(*run, '', 0, 0) for run in self._work[runner])
        view = RunnerView(self._now, running, ended)
        self.cell.handle_view(self.cell.runner_by_id[runner], view, self._now, self._now)

    def _cut_off(self, cut: Cut) -> None:
        for state in self.cell.runner_by_id.values():
            if state.registration.zone == f'zone-{cut.zone}':
                state.suspect = True
                self._unseen_by_runner[state.id] = []
        self._later(LEASE_SECONDS - LEASE_AGE, self._lapse)
        self._later(lease_upper_bound(LEASE_SECONDS), self._expire_leases)
        self._later(cut.seconds, self._reconnect)

    def _lapse(self) -> None:
        for runner in self._unseen_by_runner:
            for run, (began, _, _) in tuple(self._work[runner].items()):
                allocation = self.cell.runner_by_id[runner].allocation_by_run[run]
                self.wasted += (self._now - began) * allocation.demand.cpu / 1000
            self._work[runner].clear()

    def _expire_leases(self) -> None:
        for runner in self._unseen_by_runner:
            self.cell.handle_lapsed_runner(runner)

    def _reconnect(self) -> None:
        ends_by_runner = self._unseen_by_runner
        self._unseen_by_runner = {}
        for runner, ends in ends_by_runner.items():
            self._poll_once(runner, *ends)
            for ended in ends:
                self._settle_if_over(ended.task.job)

    def _arrive(self, kind: Kind, until: float) -> None:
        if self._now >= until:
            return
        steps = tuple(self._draw_steps(kind))
        work = sum(step.count * step.demand.cpu * step.estimate for step in steps)
        usual = kind.steps * kind.width * kind.cpu * kind.seconds
        job_id = f'{next(self._order):016x}'
        account = self._draw_account()
        spec = JobSpec('', steps)
        submission = Submission(kind.queue.name, 'desk', self._now, spec, '', account)
        self.cell.update_job(StoredJob(job_id, submission, False, None), self._now, self._now)
        weight = kind.worth * min(MOST_WEIGHT, 0.3 + 0.7 * work / usual)
        if not self.cell.job_by_id[job_id].exceeds_account_rate:
            self._weight_by_job[job_id] = weight
            self._owed_work.append((weight, work / MILLI))
            for tally in self._tallies(kind.queue.name, account):
                tally.jobs += 1
                tally.owed += weight
        rate = kind.rate(self._now) * self._rush()
        self._later(self._random.expovariate(rate), self._arrive, kind, until)

    def _rush(self) -> float:
        """Return how many times as much as usual comes from all accounts together."""
        accounts = self.load.accounts
        if accounts is None:
            return 1.0
        shares = enumerate(accounts.shares())
        return sum(share * accounts.factor(number, self._now) for number, share in shares)

    def _draw_account(self) -> str:
        accounts = self.load.accounts
        if accounts is None:
            return ''
        numbers = range(accounts.count)
        sizes = [
            share * accounts.factor(number, self._now)
            for number, share in enumerate(accounts.shares())
        ]
        return f'account-{self._random.choices(numbers, sizes)[0]}'

    def _tallies(self, queue: str, account: str) -> list[Tally]:
        tallies = [self.tally_by_queue[queue]]
        if account:
            tallies.append(self.tally_by_account.setdefault(account, Tally()))
        return tallies

    def _draw_steps(self, kind: Kind) -> Iterable[Step]:
        draw = self._random
        capacity = self.load.capacity
        count = 1 + (draw.random() < kind.steps - 1)
        for number in range(count):
            seconds = kind.seconds * draw.lognormvariate(-0.12, 0.5)
            yield Step(
                max(1, round(kind.width * draw.lognormvariate(-0.25, 0.7))),
                Demand(
                    int(min(capacity.cpu, kind.cpu * draw.lognormvariate(-0.08, 0.4))),
                    int(min(capacity.memory_mb, kind.memory_mb * draw.lognormvariate(-0.12, 0.5))),
                    0,
                ),
                seconds * draw.uniform(1 - kind.guess / 2, 1 + kind.guess),
                (number - 1,) if number else (),
                gang=draw.random() < kind.gang,
                checkpointing=draw.random() < kind.saves,
            )

    def _plan(self, until: float) -> None:
        lost_at, absent = self.load.takeover
        if lost_at <= self._now < lost_at + absent:
            self._later(PLAN_SECONDS, self._plan, until)
            return
        began = time.perf_counter()
        waiting = sum(priority > 0 for priority, _, _ in self._waiting)
        free = int(NON_URGENT_SHARE * self.load.hosts) - self._busy[False] - waiting
        made = self.planner.plan(self._now, self._now, free)
        self.plan_seconds.append(time.perf_counter() - began)
        for allocation in self.cell.take_stops():
            self._later(STOP_SECONDS, self._stop, allocation)
        for allocation in made.starts:
            self._later(ORDER_SECONDS, self._start, allocation)
        for question in made.advice_requests:
            heapq.heappush(self._waiting, (question.priority, next(self._order), question))
        self._ask()
        if self._now < until:
            self._later(PLAN_SECONDS, self._plan, until)

    def _ask(self) -> None:
        while self._waiting:
            urgent = self._waiting[0][0] == 0
            most = int(NON_URGENT_SHARE * self.load.hosts)
            if sum(self._busy.values()) >= self.load.hosts or (
                not urgent and self._busy[False] >= most
            ):
                return
            question = heapq.heappop(self._waiting)[2]
            self._busy[urgent] += 1
            takes = question.advice.decision_seconds + question.advice.seconds_per_runner * len(
                question.runners
            )
            self._later(takes, self._answer, question, urgent)

    def _answer(self, question: AdviceRequest, urgent: bool) -> None:
        self._busy[urgent] -= 1
        share = self._kind_of(question.step.job).allowed
        permits = [
            Permit(runner, 'ticket')
            for runner in question.runners
            if random.Random(f'{question.step}{runner}{self._seed}').random() < share
        ]
        until = self._now + question.advice.valid_seconds
        self.cell.tickets.note_answer(question.step, question.runners, permits, until)
        self._ask()

    def _kind_of(self, job_id: str) -> Kind:
        queue = self.cell.job_by_id[job_id].submission.queue
        return next(kind for kind in self.load.kinds if kind.queue.name == queue)

    def _start(self, allocation: Allocation) -> None:
        if not self.cell.may_start(allocation) or allocation.runner in self._unseen_by_runner:
            self.cell.release_start(allocation)
            return
        job = self.cell.job_by_id[allocation.task.job]
        kind = self._kind_of(job.id)
        if job.id not in self._begun:
            self._begun.add(job.id)
            waits = self.tally_by_queue[kind.queue.name].first_waits
            waits.append(self._now - job.accepted_at)
        step = job.find_step(allocation.task)
        # Members of a gang end together; else each task has a duration of its own.
        name = step.name if step.step.gang else allocation.task
        draw = random.Random(f'{name}{self._seed}')
        whole = kind.seconds / (1 + kind.guess / 4) if step is None else step.step.estimate
        whole *= draw.uniform(0.7, 1.2)
        saved = float(allocation.checkpoint or 0)
        takes = max(0.01, whole - saved) + (RESTORE_SECONDS if saved else 0)
        fails = random.Random(f'{name}{allocation.run}{self._seed}').random() < kind.fails
        run = (allocation.task, allocation.run)
        self._work[allocation.runner][run] = (self._now, takes, saved)
        self.cell.handle_start_reply(allocation, StartReply.STARTED, self._now)
        self._later(takes, self._end, allocation, Outcome.FAILED if fails else Outcome.DONE)

    def _stop(self, allocation: Allocation) -> None:
        self.cell.handle_stop_reply(allocation, self._now)
        self._end(allocation, Outcome.STOPPED)

    def _end(self, allocation: Allocation, outcome: Outcome) -> None:
        run = (allocation.task, allocation.run)
        work = self._work[allocation.runner].pop(run, None)
        if work is None:
            return
        began, _, saved = work
        worked = self._now - began
        job = self.cell.job_by_id.get(allocation.task.job)
        step = None if job is None else job.find_step(allocation.task)
        checkpoint = ''
        if outcome is Outcome.STOPPED and step is not None and step.step.checkpointing:
            checkpoint = str(saved + worked)
        elif outcome is not Outcome.DONE:
            self.wasted += worked * allocation.demand.cpu / 1000
        ended = EndedRun(next(self._ends), *run, outcome, checkpoint)
        if allocation.runner in self._unseen_by_runner:
            self._unseen_by_runner[allocation.runner].append(ended)
            return
        self._poll_once(allocation.runner, ended)
        self._settle_if_over(allocation.task.job)

    def _settle_if_over(self, job_id: str) -> None:
        job = self.cell.job_by_id.get(job_id)
        if job is not None and job.state in {JobState.COMPLETED, JobState.FAILED}:
            self._settle(job_id)

    def _settle(self, job_id: str) -> None:
        """Count what a job earned, once; one that failed too often earns nothing."""
        weight = self._weight_by_job.pop(job_id, None)
        if weight is None:
            return
        job = self.cell.job_by_id[job_id]
        kind = self._kind_of(job_id)
        took = (self._now - job.accepted_at) / self.cell.objective_of(job)
        for tally in self._tallies(kind.queue.name, job.account):
            if job.state is JobState.COMPLETED and took <= 1:
                tally.in_time += 1
                tally.earned += weight
            elif job.state is JobState.COMPLETED and took <= LATEST:
                tally.late += 1
                tally.earned += weight * LATE_WORTH


def _worth_a_core_second(entry: tuple[float, float]) -> float:
    return -entry[0] / max(entry[1], 1e-9)


def make_accounts(load: Load) -> list[Account[Demand]]:
    """Return the accounts of a load, their quotas and rates by what they usually send."""
    accounts = load.accounts or Accounts()
    cores = memory_mb = rate = 0.0
    for kind in load.kinds:
        tasks = kind.per_second * kind.steps * kind.width * kind.seconds
        cores += tasks * kind.cpu
        memory_mb += tasks * kind.memory_mb
        rate += kind.per_second
    return [
        Account(
            f'account-{number}',
            max(1.0, share * rate * accounts.rate),
            Demand(
                int(share * cores * accounts.quota),
                int(share * memory_mb * accounts.quota),
                UNLIMITED_GPU,
            ),
        )
        for number, share in enumerate(accounts.shares())
    ]


def main() -> int:
    """Play all policies on one load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--load', choices=sorted(make_loads()), default='bursts')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policy', choices=sorted(POLICIES), action='append')
    asked = parser.parse_args()
    for name, policy in POLICIES.items():
        if asked.policy and name not in asked.policy:
            continue
        replay = Replay(make_loads()[asked.load], policy, asked.seed)
        replay.play(asked.seconds)
        tell_result(name, replay)
    return 0


if __name__ == '__main__':
    sys.exit(main())
