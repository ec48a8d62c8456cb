"""Simulates random job arrivals in virtual time: ``make bench-replay``.

The real ``Cell`` and ``Planner`` decide; the runners, the advice service and the hosts that
query it are simulated here. Prints, for each policy, the value that the jobs earned, how late
they were by queue, and the work that was wasted.
"""

import argparse
import heapq
import itertools
import math
import random
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec import structs

from bench.replay_report import JobResult, Tally, print_result
from dandelionreel.accounts import Account, AccountDirectory, weighted_share
from dandelionreel.cell.decisions import AdviceRequest, Allocation, Cell, JobRun, Planner, StepRun
from dandelionreel.cell.decisions._objectives import count_fitting
from dandelionreel.cell.decisions._preemption import (
    LOST_WORK,
    Preemption,
    PreemptionPlan,
    VictimCost,
)
from dandelionreel.cell.decisions._reservations import Rank
from dandelionreel.cell.decisions._run_observer import RunObserver
from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.decisions._waiting_steps import (
    MAX_DEFERRAL_SECONDS,
    RankInputs,
    WaitingOrder,
    WithinRateFirst,
)
from dandelionreel.cell.membership._advisors import NON_URGENT_SHARE
from dandelionreel.cell.model import (
    AdvicePolicy,
    Configuration,
    Demand,
    EndedRun,
    JobSpec,
    JobState,
    Permit,
    Queue,
    Registration,
    RunnerView,
    RunningTask,
    RunOutcome,
    Service,
    StartReply,
    Step,
    Submission,
)
from dandelionreel.cell.owner._owner_context import LEASE_SECONDS
from dandelionreel.cell.owner._predecessor_leases import lease_upper_bound
from dandelionreel.cell.store import StoredJob

#: Seconds to deliver an order, to stop a task, to restore a checkpoint, and between plans.
ORDER_SECONDS = 0.004
STOP_SECONDS = 0.2
RESTORE_SECONDS = 0.1
PLAN_INTERVAL_SECONDS = 0.01
TRAFFIC_PERIOD_SECONDS = 15.0
RUNNER_CAPACITY = Demand(32_000, 65_536, 0)
#: Mean age of a lease when its runner is cut off: half of the interval between polls.
MEAN_LEASE_AGE_SECONDS = 0.75
#: A job that ends within its objective earns its value, up to MAX_LATE_FACTOR times the
#: objective this share of it, then nothing.
LATE_VALUE_SHARE = 0.2
UNLIMITED_GPU = 2**40
MILLI = 1000
MAX_LATE_FACTOR = 3.0
#: Steps between a share of 0 and of 1 when shares of accounts are compared.
SHARE_RESOLUTION = 10_000
#: A large job is worth up to this many times the mean value of its kind.
MAX_SIZE_FACTOR = 4.0


@dataclass(frozen=True)
class JobKind:
    """Distribution of the jobs of one queue; CPU is in thousandths of a core.

    ``mean_tasks`` is for each step; ``permit_share`` is the part of the runners that advice
    permits; ``burst`` has the begin, the end and the factor of a burst of arrivals.
    """

    queue: Queue
    arrivals_per_second: float
    mean_value: float
    mean_steps: float
    mean_tasks: float
    mean_cpu: float
    mean_memory_mb: float
    mean_seconds: float
    estimate_error: float
    permit_share: float
    gang_share: float = 0
    checkpoint_share: float = 0
    failure_share: float = 0
    burst: tuple[float, float, float] = (0, 0, 1)
    #: Standard deviation of the logarithm of the factor by which the runs of a step differ from
    #: its declared duration.
    duration_spread: float = 0

    def arrival_rate(self, now: float) -> float:
        """Return the arrivals per second, which rise during the burst."""
        begins, ends, factor = self.burst
        return self.arrivals_per_second * (factor if begins <= now < ends else 1)


def _queue(name: str, priority: int, attempts: int, slack: float, latency: float, *advice: float):
    policy = AdvicePolicy(*advice)
    return Queue(name, 'h', f'/{name}/', 'desk', priority, attempts, slack, latency, 3, policy)


@dataclass(frozen=True)
class Cut:
    """A network cut: the runners of a zone are unreachable for some seconds."""

    zone: int
    starts_at: float
    duration: float


@dataclass(frozen=True)
class Accounts:
    """Client accounts of very different sizes, of which one may overload the cell for a while.

    The quota and the rate of each account are ``quota_factor`` and ``rate_factor`` times what
    it usually sends.
    """

    count: int = 20
    quota_factor: float = 1.9
    rate_factor: float = 1.9
    #: The overloading account by rank of size, begin, end, and factor of its arrivals.
    overload: tuple[int, float, float, float] = (3, 0.0, 0.0, 1.0)
    #: Exponent of the decrease of the accounts' sizes by rank.
    skew: float = 1.0
    #: Whether accounts submit only gangs that fit their quotas.
    gangs_fit_quotas: bool = False

    def shares(self) -> list[float]:
        """Return the share of all jobs that each account usually sends."""
        sizes = [(number + 1) ** -self.skew for number in range(self.count)]
        return [size / sum(sizes) for size in sizes]

    def load_factor(self, number: int, now: float) -> float:
        """Return the factor by which an account exceeds its usual arrivals."""
        rank, begins, ends, factor = self.overload
        return factor if number == rank and begins <= now < ends else 1.0


@dataclass(frozen=True)
class Unevenness:
    """Runners of two speeds, wrong estimates and varying traffic.

    The errors are standard deviations of logarithms: of all tasks of a step together, and of the
    single tasks.
    """

    slow_share: float = 0.25
    slow_speed: float = 0.55
    fast_speed: float = 1.2
    step_error: float = 0.7
    task_error: float = 0.2
    #: Traffic varies by this share, once in ``TRAFFIC_PERIOD_SECONDS``.
    traffic: float = 0.55

    def speed_of(self, runner: str, seed: int) -> float:
        """Return the speed of a runner."""
        is_slow = random.Random(f'speed of {runner}{seed}').random() < self.slow_share
        return self.slow_speed if is_slow else self.fast_speed

    def duration(self, estimate: float, step: object, task: object, seed: int) -> float:
        """Return the duration of a task at the usual speed; its mean is the estimate."""
        error = estimate
        for name, sigma in ((step, self.step_error), (task, self.task_error)):
            error *= random.Random(f'{name}{seed}').lognormvariate(-sigma * sigma / 2, sigma)
        return error

    def traffic_factor(self, now: float) -> float:
        """Return the factor of the arrivals at a time."""
        return 1 + self.traffic * math.sin(2 * math.pi * now / TRAFFIC_PERIOD_SECONDS)


@dataclass(frozen=True)
class Load:
    """A cell, the jobs that arrive and the faults that occur."""

    runners: int
    hosts: int
    kinds: tuple[JobKind, ...]
    #: Seconds at the beginning in which jobs arrive but nothing starts.
    outage: float = 0.0
    zones: int = 1
    runners_per_rack: int = 8
    cut: Cut | None = None
    #: When the owner is lost, and the seconds until its successor plans.
    takeover: tuple[float, float] = (0.0, 0.0)
    capacity: Demand = RUNNER_CAPACITY
    accounts: Accounts | None = None
    #: Part of the work since the last start that the checkpoint of a stopped task saves.
    saved_share: float = 1.0
    unevenness: Unevenness | None = None


def make_loads() -> dict[str, Load]:
    """Return the loads by name; on average nine tenths of the cores are in use."""
    settle = _queue('settle', 1, 4, 2.2, 1.0, 0.44, 0.0064, 2.0)
    blend = _queue('blend', 2, 3, 4.0, 3.0, 0.13, 0.0018, 2.0)
    check = _queue('check', 0, 2, 1.5, 0.25, 0.012, 0.00017, 2.0)
    quiet = (
        JobKind(settle, 3.0, 8.6, 1.2, 20, 9000, 13_000, 4.0, 0.2, 0.3, 1.0, 0.5, 0.005),
        JobKind(blend, 4.9, 3.2, 1.5, 25, 3500, 5000, 2.7, 0.5, 0.45, 0, 0.8, 0.005),
        JobKind(check, 55, 0.41, 1.0, 3, 5000, 9100, 0.8, 0.9, 0.7, 0.3, 0, 0.05),
    )
    bursts = tuple(
        JobKind(**{**vars(kind), 'burst': (5, 9, 2) if kind.queue is settle else (12, 16, 2)})
        for kind in quiet
    )
    return {
        'quiet': Load(176, 35, quiet),
        'bursts': Load(176, 35, bursts),
        # The store is unavailable for 6 s, and a quarter of the hosts for longer.
        'outage': Load(176, 26, bursts, outage=6.0),
        'zones': _make_zones_load(),
        'backlog': _make_backlog_load(),
        'accounts': _make_accounts_load(),
        'uneven': _make_uneven_load(Unevenness()),
        'third faster': _make_uneven_load(Unevenness(2 / 3, 1.0, 1.3)),
        'hot account': _make_accounts_load(Accounts(overload=(3, 4, 12, 9.0))),
        'competing': _make_competing_load(),
    }


def _make_accounts_load(accounts: Accounts = Accounts()) -> Load:
    """Return a cell with 20 accounts, and a burst of checks, then one of settlements."""
    settle = _queue('settle', 1, 2, 2.2, 1.0, 0.455, 0.0065, 2.0)
    recon = _queue('recon', 2, 2, 4.0, 3.0, 0.13, 0.00182, 2.0)
    check = _queue('check', 0, 3, 1.5, 0.25, 0.0143, 0.00021, 2.0)
    kinds = (
        JobKind(settle, 2.2, 7.19, 1.2, 20, 4500, 8100, 4.0, 0.2, 0.3, 1, 0.5, 0.01, (19, 23, 1.7)),
        JobKind(recon, 6.4, 2.69, 1.5, 25, 1700, 3200, 2.7, 0.5, 0.45, 0, 0.8, 0.05),
        JobKind(check, 33, 0.421, 1, 3.2, 2500, 2500, 1.0, 0.9, 0.7, 0.3, 0, 0.05, (7, 11, 2)),
    )
    half_capacity = Demand(16_000, 32_768, 0)
    return Load(176, 45, kinds, 0, 4, 12, capacity=half_capacity, accounts=accounts)


def _make_uneven_load(unevenness: Unevenness) -> Load:
    """Return a cell with runners of two speeds, two thirds of its cores in use on average."""
    large = _queue('large', 1, 3, 2.2, 1.0, 0.44, 0.0064, 2.0)
    medium = _queue('medium', 2, 2, 4.0, 3.0, 0.13, 0.0018, 2.0)
    small = _queue('small', 0, 2, 1.5, 0.25, 0.012, 0.00017, 2.0)
    kinds = (
        JobKind(large, 2.6, 7.2, 1.2, 20, 9000, 13_000, 3.4, 0, 0.3, 1, 0.5, 0.01),
        JobKind(medium, 4.3, 2.7, 1.5, 25, 3500, 5000, 2.3, 0, 0.45, 0, 0.8, 0.02),
        JobKind(small, 48, 0.42, 1, 3, 5000, 9100, 0.68, 0, 0.7, 0.3, 0, 0.02),
    )
    return Load(176, 40, kinds, zones=4, runners_per_rack=12, unevenness=unevenness)


def _make_competing_load() -> Load:
    """Return customer A's cell (hard-load.md): demand exceeds capacity at times.

    An account sends 7 times its usual load, then bursts of small jobs and of the other queues.
    """
    large = _queue('large', 1, 3, 2.2, 1.0, 0.44, 0.0064, 2.0)
    medium = _queue('medium', 2, 2, 4.0, 3.0, 0.13, 0.0018, 2.0)
    small = _queue('small', 0, 2, 1.5, 0.25, 0.0143, 0.0002, 2.0)
    late = (17, 21, 1.7)
    kinds = (
        JobKind(large, 1.8, 7.2, 1.2, 20, 18_000, 30_000, 5, 0, 0.3, 1, 0.5, 0.01, late, 0.5),
        JobKind(medium, 6.4, 2.7, 1.5, 25, 6900, 9000, 2.7, 0, 0.45, 0, 0.8, 0.02, late, 0.6),
        JobKind(small, 41, 0.42, 1, 3, 9900, 14_000, 0.8, 0, 0.7, 0.3, 0, 0.03, (12, 16, 2.4), 0.5),
    )
    accounts = Accounts(overload=(2, 4, 9, 7.0), skew=1.2, gangs_fit_quotas=True)
    large_runner = Demand(64_000, 131_072, 0)
    return Load(176, 90, kinds, 0, 4, 12, capacity=large_runner, accounts=accounts)


def _make_zones_load() -> Load:
    """Return a cell of six zones: its owner is lost after a burst, then a zone is cut off."""
    settle = _queue('settle', 1, 4, 2.2, 1.0, 0.637, 0.0091, 2.0)
    blend = _queue('blend', 2, 3, 4.0, 3.0, 0.182, 0.0026, 2.0)
    check = _queue('check', 0, 2, 1.5, 0.25, 0.026, 0.00036, 2.0)
    kinds = (
        JobKind(settle, 3.6, 5.66, 1.2, 16, 9000, 9400, 6.2, 0.5, 0.3, 1, 0.5, 0.02, (20, 24, 1.8)),
        JobKind(blend, 6.0, 2.12, 1.5, 19, 5500, 7900, 2.7, 0.2, 0.45, 0, 0.8, 0.05),
        JobKind(check, 42, 0.418, 1, 3.1, 7900, 15_000, 1.0, 0.9, 0.7, 0.3, 0, 0.05, (9, 13, 2)),
    )
    cut = Cut(zone=5, starts_at=33.5, duration=5.7)
    return Load(270, 97, kinds, 0, 6, 12, cut, takeover=(14.0, 2.0))


def _make_backlog_load() -> Load:
    """Return a cell in which nothing starts for 4.2 s; later one of its three zones is cut off."""
    settle = _queue('settle', 1, 2, 2.2, 1.0, 0.442, 0.00637, 1.5)
    blend = _queue('blend', 2, 2, 4.0, 3.0, 0.13, 0.00182, 1.5)
    check = _queue('check', 0, 2, 1.5, 0.25, 0.0143, 0.00021, 1.5)
    kinds = (
        JobKind(settle, 2.9, 7.1, 1.2, 20, 18_000, 33_000, 4.0, 0.9, 0.25, 1, 0.5, 0.005),
        JobKind(blend, 4.8, 2.7, 1.5, 25, 6900, 7100, 2.7, 0.2, 0.45, 0, 0.8, 0.02),
        JobKind(check, 43, 0.42, 1, 3.2, 9900, 14_000, 1.0, 0.2, 0.7, 0.3, 0, 0.02, (6, 10, 2)),
    )
    cut = Cut(zone=1, starts_at=33.5, duration=5.2)
    large = Demand(64_000, 131_072, 0)
    return Load(176, 33, kinds, 0, 3, 12, cut, takeover=(18.0, 4.2), capacity=large)


class ArrivalOrder(WaitingOrder):
    """Orders steps by the acceptance time of their jobs."""

    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step."""
        job = inputs.job
        return Rank(False, False, 0, 0, job.accepted_at, job.id, inputs.step.name)


class ArrivalOrderPlanner(Planner):
    """Baseline: places steps in the order in which their jobs arrived."""

    def __init__(self, cell: Cell) -> None:
        """Plan for that cell."""
        super().__init__(cell, ArrivalOrder())


class NoPreemption(Preemption):
    """Never preempts a task."""

    def plan_preemption(self, *arguments: object) -> PreemptionPlan | None:
        """Return no plan."""
        return None


class NoPreemptionPlanner(Planner):
    """Baseline without preemption: gangs wait until enough capacity is free."""

    def __init__(self, cell: Cell) -> None:
        """Plan for that cell."""
        super().__init__(cell)
        self._preemption = NoPreemption(cell)


class LostWorkPlanner(Planner):
    """Weighs the work that preempted tasks lose also where all runners are equally fast."""

    def _victim_cost(self) -> VictimCost:
        return LOST_WORK


class IgnoreAccountRates(WithinRateFirst):
    """Ignores the rates of accounts: orders by priority, then by the earliest objective."""

    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step."""
        return super().rank(inputs)._replace(beyond_rate=False)


class ShareOrderWithinQueues(WaitingOrder):
    """Strict priority of queues; within a queue, the account with the lowest weighted share."""

    def __init__(self, cell: Cell) -> None:
        """Compute shares of the capacity of that cell."""
        self._cell = cell
        self._total_capacity = Demand()
        self._now = -1.0

    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step, with its account's share in place of its lateness."""
        rank = WithinRateFirst().rank(inputs)._replace(beyond_rate=False)
        return rank._replace(lateness=int(SHARE_RESOLUTION * self.share(inputs)))

    def share(self, inputs: RankInputs) -> float:
        """Return the weighted dominant share of a step's account."""
        if inputs.now != self._now:
            self._now = inputs.now
            self._total_capacity = self._cell.capacity()
        account = self._cell.configuration.find_account(inputs.job.account)
        weight = account.weight if account else 1.0
        return weighted_share(
            self._cell.quotas.used(inputs.job.account), self._total_capacity, weight
        )


class ShareOrder(ShareOrderWithinQueues):
    """The account with the lowest weighted share goes first, over all queues."""

    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step, with its account's share before the priority of its queue."""
        rank = WithinRateFirst().rank(inputs)._replace(beyond_rate=False)
        return rank._replace(
            priority=int(SHARE_RESOLUTION * self.share(inputs)), lateness=rank.priority
        )


class DeclaredTimes(RunTimes):
    """Learns nothing: all durations are the declared ones."""

    def record_completed_run(self, *arguments: object) -> None:
        """Ignore the run."""


class DeclaredTimesPlanner(Planner):
    """Baseline: places tasks by declared durations, whatever the speeds of the runners."""

    def __init__(self, cell: Cell) -> None:
        """Plan for that cell."""
        super().__init__(cell)
        cell.run_times = DeclaredTimes()
        cell._run_observer = RunObserver(cell.run_times, cell.job_by_id)


class RateWithinQueues(WaitingOrder):
    """Strict priority of queues; within a queue, jobs within their account's rate first."""

    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step."""
        rank = WithinRateFirst().rank(inputs)
        return rank._replace(beyond_rate=False, priority=2 * rank.priority + rank.beyond_rate)


class InTimeFirst(WaitingOrder):
    """As built, but steps that can be in time go before late ones of more urgent queues."""

    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step."""
        rank = WithinRateFirst().rank(inputs)
        return rank._replace(priority=rank.lateness, lateness=rank.priority)


class OwedWork(WaitingOrder):
    """Jobs of accounts that are owed core-seconds first, by the declared work of their jobs.

    Each second, an account is owed ``factor`` times its weighted share of the cell.
    """

    def __init__(self, cell: Cell, factor: float = 1.0, burst_seconds: float = 1.0) -> None:
        """Compute what each account is owed of that cell."""
        self._cell = cell
        self._factor = factor
        self._burst_seconds = burst_seconds
        self._beyond_by_job: dict[str, bool] = {}
        #: Core-seconds that each account is owed, and until when they are counted.
        self._owed_by_account: dict[str, tuple[float, float]] = {}

    def rank(self, inputs: RankInputs) -> Rank:
        """Return the rank of a step."""
        job = inputs.job
        if job.id not in self._beyond_by_job:
            self._beyond_by_job[job.id] = self._is_beyond(job)
        may_defer = inputs.now - job.accepted_at < MAX_DEFERRAL_SECONDS
        beyond = may_defer and self._beyond_by_job[job.id]
        return WithinRateFirst().rank(inputs)._replace(beyond_rate=beyond)

    def _is_beyond(self, job: JobRun) -> bool:
        """Return whether nothing is owed; a job may exceed what is, as wide ones would wait."""
        accounts = self._cell.configuration.accounts.account_by_name
        weights = sum(account.weight for account in accounts.values())
        rate = self._factor * self._cell.capacity().cpu * accounts[job.account].weight / weights
        most = rate * self._burst_seconds
        owed, counted_at = self._owed_by_account.get(job.account, (most, job.accepted_at))
        owed = min(most, owed + rate * max(0, job.accepted_at - counted_at))
        beyond = owed <= 0
        if not beyond:
            owed -= sum(step.count * step.demand.cpu * step.estimate for step in job.spec.steps)
        self._owed_by_account[job.account] = owed, max(counted_at, job.accepted_at)
        return beyond


POLICIES: dict[str, Callable[[Cell], Planner]] = {
    'as built': Planner,
    'beside gangs': lambda cell: Planner(cell, overload_control=True),
    'declared times': DeclaredTimesPlanner,
    'no preemption': NoPreemptionPlanner,
    'lost work': LostWorkPlanner,
    'first come, first served': ArrivalOrderPlanner,
    'no shares': lambda cell: Planner(cell, IgnoreAccountRates()),
    'shares within queues': lambda cell: Planner(cell, ShareOrderWithinQueues(cell)),
    'rate within queues': lambda cell: Planner(cell, RateWithinQueues()),
    'in time first': lambda cell: Planner(cell, InTimeFirst()),
    'owed work': lambda cell: Planner(cell, OwedWork(cell)),
    'owed work, twice': lambda cell: Planner(cell, OwedWork(cell, 2.0, 2.0)),
    'weighted shares': lambda cell: Planner(cell, ShareOrder(cell)),
}


class Replay:
    """Simulation of one policy on one load."""

    def __init__(self, load: Load, policy: Callable[[Cell], Planner], seed: int) -> None:
        """Create the cell; random draws depend on ``seed`` and not on the policy."""
        self.load = load
        self.cell = Cell(1, 3.0)
        queues = tuple(kind.queue for kind in load.kinds)
        directory = None if load.accounts is None else AccountDirectory(make_accounts(load))
        self.cell.configuration = Configuration(
            1, queues, (Service('desk', False, False),), 9999, directory
        )
        self.tally_by_account: dict[str, Tally] = {}
        #: All jobs, with the share of their value that they earned.
        self.result_by_job: dict[str, JobResult] = {}
        self.planner = policy(self.cell)
        self.tally_by_queue = {kind.queue.name: Tally() for kind in load.kinds}
        self.wasted_core_seconds = 0.0
        self.plan_seconds: list[float] = []
        self._rng = random.Random(seed)
        self._seed = seed
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = itertools.count()
        self._waiting_requests: list[tuple[int, int, AdviceRequest]] = []
        self._busy_hosts_by_urgency = {True: 0, False: 0}
        self._value_by_job: dict[str, float] = {}
        #: Value and core-seconds of each job that is within the rate of its account.
        self._attainable_work: list[tuple[float, float]] = []
        self._started_jobs: set[str] = set()
        #: Runs in progress by runner: start time, duration, and seconds of work restored from a
        #: checkpoint.
        self._runs_by_runner: dict[str, dict[tuple, tuple[float, float, float]]] = {}
        self._end_numbers = itertools.count(1)
        #: Runs that ended on runners while these are cut off.
        self._unseen_ends_by_runner: dict[str, list[EndedRun]] = {}
        self._add_runners()

    def play(self, seconds: float) -> None:
        """Simulate arrivals for ``seconds``; plan for three times as long, so that jobs can end."""
        for kind in self.load.kinds:
            self._schedule(
                self._rng.expovariate(kind.arrival_rate(0)), self._submit_job, kind, seconds
            )
        self._schedule(max(PLAN_INTERVAL_SECONDS, self.load.outage), self._plan, 3 * seconds)
        if self.load.cut is not None:
            self._schedule(self.load.cut.starts_at, self._start_cut, self.load.cut)
        while self._events:
            self._now, _, callback, values = heapq.heappop(self._events)
            callback(*values)

    @property
    def bound(self) -> float:
        """Return the value that would be earned if no core were ever idle.

        This upper bound assumes that all arrivals are known in advance and that work can be
        split arbitrarily; jobs with the highest value per core-second go first.
        """
        core_seconds_left = self.load.runners * self.load.capacity.cpu / MILLI * (self._now or 1.0)
        earned = 0.0
        for value, work in sorted(self._attainable_work, key=_negative_value_density):
            part = min(1.0, core_seconds_left / max(work, 1e-9))
            core_seconds_left -= part * work
            earned += part * value
        return earned

    def _schedule(self, delay: float, callback: Callable[..., None], *values: object) -> None:
        heapq.heappush(self._events, (self._now + delay, next(self._sequence), callback, values))

    def _add_runners(self) -> None:
        registrations = {}
        for number in range(self.load.runners):
            zone = number * self.load.zones // self.load.runners
            labels = ('a', f'r-{number // self.load.runners_per_rack}')
            name = f'w{number}'
            registrations[name] = Registration(
                name, 'desk', '10.0.0.1', number, f'zone-{zone}', self.load.capacity, labels, False
            )
            self._runs_by_runner[name] = {}
        self.cell.update_runners(registrations, 0)
        for name, state in self.cell.runner_by_id.items():
            state.recorded = True
            self._poll_once(name)

    def _poll_once(self, runner: str, *ended: EndedRun) -> None:
        running = tuple(
            RunningTask(*run, '', int(100 * min(1, (self._now - began) / duration)), 0)
            for run, (began, duration, _) in self._runs_by_runner[runner].items()
        )
        view = RunnerView(self._now, running, ended)
        self.cell.handle_view(self.cell.runner_by_id[runner], view, self._now, self._now)

    def _start_cut(self, cut: Cut) -> None:
        for state in self.cell.runner_by_id.values():
            if state.registration.zone == f'zone-{cut.zone}':
                state.suspect = True
                self._unseen_ends_by_runner[state.id] = []
        self._schedule(LEASE_SECONDS - MEAN_LEASE_AGE_SECONDS, self._stop_unreachable_runs)
        self._schedule(lease_upper_bound(LEASE_SECONDS), self._expire_leases)
        self._schedule(cut.duration, self._end_cut)

    def _stop_unreachable_runs(self) -> None:
        for runner in self._unseen_ends_by_runner:
            for run, (began, _, _) in tuple(self._runs_by_runner[runner].items()):
                allocation = self.cell.runner_by_id[runner].allocation_by_run[run]
                self.wasted_core_seconds += (self._now - began) * allocation.demand.cpu / 1000
            self._runs_by_runner[runner].clear()

    def _expire_leases(self) -> None:
        for runner in self._unseen_ends_by_runner:
            self.cell.handle_lapsed_runner(runner)

    def _end_cut(self) -> None:
        ends_by_runner = self._unseen_ends_by_runner
        self._unseen_ends_by_runner = {}
        for runner, ends in ends_by_runner.items():
            self._poll_once(runner, *ends)
            for ended in ends:
                self._record_if_ended(ended.task.job)

    def _submit_job(self, kind: JobKind, end_at: float) -> None:
        if self._now >= end_at:
            return
        steps = tuple(self._draw_steps(kind))
        work = sum(step.count * step.demand.cpu * step.estimate for step in steps)
        mean_work = kind.mean_steps * kind.mean_tasks * kind.mean_cpu * kind.mean_seconds
        job_id = f'{next(self._sequence):016x}'
        account = self._draw_account()
        if self.load.accounts is not None and self.load.accounts.gangs_fit_quotas:
            steps = tuple(self._fit_quota(step, account) for step in steps)
        spec = JobSpec('', steps)
        submission = Submission(kind.queue.name, 'desk', self._now, spec, '', account)
        self.cell.update_job(StoredJob(job_id, submission, False, None), self._now, self._now)
        value = kind.mean_value * min(MAX_SIZE_FACTOR, 0.3 + 0.7 * work / mean_work)
        self.result_by_job[job_id] = JobResult(kind.queue.name, account, value, work)
        if not self.cell.job_by_id[job_id].exceeds_account_rate:
            self._value_by_job[job_id] = value
            self._attainable_work.append((value, work / MILLI))
            for tally in self._tallies(kind.queue.name, account):
                tally.jobs += 1
                tally.attainable += value
        rate = kind.arrival_rate(self._now) * self._load_factor()
        if self.load.unevenness is not None:
            rate *= self.load.unevenness.traffic_factor(self._now)
        self._schedule(self._rng.expovariate(rate), self._submit_job, kind, end_at)

    def _load_factor(self) -> float:
        """Return the factor by which all accounts together exceed their usual arrivals."""
        accounts = self.load.accounts
        if accounts is None:
            return 1.0
        shares = enumerate(accounts.shares())
        return sum(share * accounts.load_factor(number, self._now) for number, share in shares)

    def _draw_account(self) -> str:
        accounts = self.load.accounts
        if accounts is None:
            return ''
        numbers = range(accounts.count)
        sizes = [
            share * accounts.load_factor(number, self._now)
            for number, share in enumerate(accounts.shares())
        ]
        return f'account-{self._rng.choices(numbers, sizes)[0]}'

    def _fit_quota(self, step: Step, account: str) -> Step:
        """Return a gang with as many members as its account's quota allows."""
        quota = self.cell.configuration.find_account(account).quota
        if not step.gang:
            return step
        return structs.replace(step, count=max(1, count_fitting(step.demand, quota, step.count)))

    def _tallies(self, queue: str, account: str) -> list[Tally]:
        tallies = [self.tally_by_queue[queue]]
        if account:
            tallies.append(self.tally_by_account.setdefault(account, Tally()))
        return tallies

    def _draw_steps(self, kind: JobKind) -> Iterable[Step]:
        rng = self._rng
        capacity = self.load.capacity
        count = 1 + (rng.random() < kind.mean_steps - 1)
        for number in range(count):
            seconds = kind.mean_seconds * rng.lognormvariate(-0.12, 0.5)
            yield Step(
                max(1, round(kind.mean_tasks * rng.lognormvariate(-0.25, 0.7))),
                Demand(
                    int(min(capacity.cpu, kind.mean_cpu * rng.lognormvariate(-0.08, 0.4))),
                    int(
                        min(
                            capacity.memory_mb, kind.mean_memory_mb * rng.lognormvariate(-0.12, 0.5)
                        )
                    ),
                    0,
                ),
                seconds * rng.uniform(1 - kind.estimate_error / 2, 1 + kind.estimate_error),
                (number - 1,) if number else (),
                gang=rng.random() < kind.gang_share,
                checkpointing=rng.random() < kind.checkpoint_share,
            )

    def _plan(self, end_at: float) -> None:
        lost_at, absence = self.load.takeover
        if lost_at <= self._now < lost_at + absence:
            self._schedule(PLAN_INTERVAL_SECONDS, self._plan, end_at)
            return
        began = time.perf_counter()
        waiting = sum(priority > 0 for priority, _, _ in self._waiting_requests)
        free = (
            int(NON_URGENT_SHARE * self.load.hosts) - self._busy_hosts_by_urgency[False] - waiting
        )
        plan = self.planner.plan(self._now, self._now, free)
        self.plan_seconds.append(time.perf_counter() - began)
        for allocation in self.cell.take_stops():
            self._schedule(STOP_SECONDS, self._stop, allocation)
        for allocation in plan.starts:
            self._schedule(ORDER_SECONDS, self._start, allocation)
        for request in plan.advice_requests:
            heapq.heappush(
                self._waiting_requests, (request.priority, next(self._sequence), request)
            )
        self._send_advice_requests()
        if self._now < end_at:
            self._schedule(PLAN_INTERVAL_SECONDS, self._plan, end_at)

    def _send_advice_requests(self) -> None:
        while self._waiting_requests:
            urgent = self._waiting_requests[0][0] == 0
            max_busy = int(NON_URGENT_SHARE * self.load.hosts)
            if sum(self._busy_hosts_by_urgency.values()) >= self.load.hosts or (
                not urgent and self._busy_hosts_by_urgency[False] >= max_busy
            ):
                return
            request = heapq.heappop(self._waiting_requests)[2]
            self._busy_hosts_by_urgency[urgent] += 1
            duration = request.advice.decision_seconds + request.advice.seconds_per_runner * len(
                request.runners
            )
            self._schedule(duration, self._handle_advice, request, urgent)

    def _handle_advice(self, request: AdviceRequest, urgent: bool) -> None:
        self._busy_hosts_by_urgency[urgent] -= 1
        share = self._kind_of(request.step.job).permit_share
        permits = [
            Permit(runner, 'ticket')
            for runner in request.runners
            if random.Random(f'{request.step}{runner}{self._seed}').random() < share
        ]
        end_at = self._now + request.advice.valid_seconds
        self.cell.tickets.record_advice(request.step, request.runners, permits, end_at)
        self._send_advice_requests()

    def _kind_of(self, job_id: str) -> JobKind:
        queue = self.cell.job_by_id[job_id].submission.queue
        return next(kind for kind in self.load.kinds if kind.queue.name == queue)

    def _start(self, allocation: Allocation) -> None:
        if (
            not self.cell.may_send_start(allocation)
            or allocation.runner in self._unseen_ends_by_runner
        ):
            self.cell.release_start(allocation)
            return
        job = self.cell.job_by_id[allocation.task.job]
        kind = self._kind_of(job.id)
        if job.id not in self._started_jobs:
            self._started_jobs.add(job.id)
            start_delays = self.tally_by_queue[kind.queue.name].start_delays
            start_delays.append(self._now - job.accepted_at)
        step = job.find_step(allocation.task)
        # The tasks of a gang end together; otherwise each task has a duration of its own.
        name = step.name if step.step.gang else allocation.task
        full_duration = self._draw_duration(allocation, step, kind)
        if self.load.unevenness is not None and step is not None:
            full_duration = self._uneven_duration(self.load.unevenness, step, allocation)
        saved_seconds = float(allocation.checkpoint or 0)
        duration = max(0.01, full_duration - saved_seconds) + (
            RESTORE_SECONDS if saved_seconds else 0
        )
        fails = random.Random(f'{name}{allocation.run}{self._seed}').random() < kind.failure_share
        run = (allocation.task, allocation.run)
        self._runs_by_runner[allocation.runner][run] = (self._now, duration, saved_seconds)
        self.cell.handle_start_reply(allocation, StartReply.STARTED, self._now)
        self._schedule(
            duration, self._end, allocation, RunOutcome.FAILED if fails else RunOutcome.DONE
        )

    def _draw_duration(self, allocation: Allocation, step: StepRun | None, kind: JobKind) -> float:
        """Return the duration of a run without checkpoint, the same for all members of a gang."""
        name = step.name if step is not None and step.step.gang else allocation.task
        full_duration = (
            kind.mean_seconds / (1 + kind.estimate_error / 4)
            if step is None
            else step.step.estimate
        )
        task_error = random.Random(f'{name}{self._seed}').uniform(0.7, 1.2)
        return full_duration * task_error * self._duration_factor(kind, allocation)

    def _uneven_duration(
        self, unevenness: Unevenness, step: StepRun, allocation: Allocation
    ) -> float:
        """Return the duration of a task; a gang ends when its slowest member ends."""
        runners = [allocation.runner]
        if step.step.gang:
            runners.extend(task.runner for task in step.tasks if task.runner)
        name = step.name if step.step.gang else allocation.task
        seconds = unevenness.duration(step.step.estimate, step.name, name, self._seed)
        return seconds / min(unevenness.speed_of(runner, self._seed) for runner in runners)

    def _duration_factor(self, kind: JobKind, allocation: Allocation) -> float:
        """Return the error of the declared duration, which all tasks of a step share."""
        if not kind.duration_spread:
            return 1.0
        task = allocation.task
        rng = random.Random(f'{task.job} {task.step} {self._seed}')
        return rng.lognormvariate(-(kind.duration_spread**2) / 2, kind.duration_spread)

    def _stop(self, allocation: Allocation) -> None:
        self.cell.handle_stop_reply(allocation, self._now)
        self._end(allocation, RunOutcome.STOPPED)

    def _end(self, allocation: Allocation, outcome: RunOutcome) -> None:
        run = (allocation.task, allocation.run)
        running = self._runs_by_runner[allocation.runner].pop(run, None)
        if running is None:
            return
        began, _, saved_seconds = running
        run_seconds = self._now - began
        job = self.cell.job_by_id.get(allocation.task.job)
        step = None if job is None else job.find_step(allocation.task)
        checkpoint = ''
        if outcome is RunOutcome.STOPPED and step is not None and step.step.checkpointing:
            checkpoint = str(saved_seconds + self.load.saved_share * run_seconds)
        elif outcome is not RunOutcome.DONE:
            self.wasted_core_seconds += run_seconds * allocation.demand.cpu / 1000
        ended = EndedRun(next(self._end_numbers), *run, outcome, checkpoint)
        if allocation.runner in self._unseen_ends_by_runner:
            self._unseen_ends_by_runner[allocation.runner].append(ended)
            return
        self._poll_once(allocation.runner, ended)
        self._record_if_ended(allocation.task.job)

    def _record_if_ended(self, job_id: str) -> None:
        job = self.cell.job_by_id.get(job_id)
        if job is not None and job.state in {JobState.COMPLETED, JobState.FAILED}:
            self._record_result(job_id)

    def _record_result(self, job_id: str) -> None:
        """Record once the value that a job earned; a failed job earns nothing."""
        job = self.cell.job_by_id[job_id]
        lateness = (self._now - job.accepted_at) / self.cell.objective_of(job)
        if job.state is JobState.COMPLETED and lateness <= MAX_LATE_FACTOR:
            self.result_by_job[job_id].earned_share = 1.0 if lateness <= 1 else LATE_VALUE_SHARE
        value = self._value_by_job.pop(job_id, None)
        if value is None:
            return
        kind = self._kind_of(job_id)
        for tally in self._tallies(kind.queue.name, job.account):
            if job.state is JobState.COMPLETED and lateness <= 1:
                tally.in_time += 1
                tally.value_earned += value
            elif job.state is JobState.COMPLETED and lateness <= MAX_LATE_FACTOR:
                tally.late += 1
                tally.value_earned += value * LATE_VALUE_SHARE


def _negative_value_density(value_and_work: tuple[float, float]) -> float:
    return -value_and_work[0] / max(value_and_work[1], 1e-9)


def make_accounts(load: Load) -> list[Account[Demand]]:
    """Return the accounts of a load, with quotas and rates derived from their usual arrivals."""
    accounts = load.accounts or Accounts()
    cores = memory_mb = rate = 0.0
    for kind in load.kinds:
        tasks = kind.arrivals_per_second * kind.mean_steps * kind.mean_tasks * kind.mean_seconds
        cores += tasks * kind.mean_cpu
        memory_mb += tasks * kind.mean_memory_mb
        rate += kind.arrivals_per_second
    return [
        Account(
            f'account-{number}',
            max(1.0, share * rate * accounts.rate_factor),
            Demand(
                int(share * cores * accounts.quota_factor),
                int(share * memory_mb * accounts.quota_factor),
                UNLIMITED_GPU,
            ),
        )
        for number, share in enumerate(accounts.shares())
    ]


def main() -> int:
    """Simulate all policies, or the given ones, on one load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--load', choices=sorted(make_loads()), default='bursts')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--policy', choices=sorted(POLICIES), action='append')
    options = parser.parse_args()
    for name, policy in POLICIES.items():
        if options.policy and name not in options.policy:
            continue
        replay = Replay(make_loads()[options.load], policy, options.seed)
        replay.play(options.seconds)
        print_result(name, replay)
    return 0


if __name__ == '__main__':
    sys.exit(main())
