"""Decides which new jobs are refused because they would end too late to be of use. No I/O.

Load pattern: a backlog so long that a new job would end after three times its objective. Its
client gains nothing from the job, but can retry when there is capacity.
"""

import enum
import math
from collections import deque
from dataclasses import dataclass, replace

from dandelionreel.cell.decisions._cell import Cell
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._load_forecast import (
    ExpectedWait,
    LoadForecast,
    could_start_at_once,
    make_forecast,
)
from dandelionreel.cell.decisions._objectives import critical_path_seconds
from dandelionreel.cell.decisions._waiting_steps import (
    MAX_USEFUL_LATENESS,
    RankInputs,
    WaitingOrder,
)
from dandelionreel.cell.model import (
    DIGEST_VERSION,
    MAX_DIGEST_ROWS,
    AccountLoad,
    LoadDigest,
    QueueLoad,
    RefusedJob,
    Submission,
)

#: Fraction of the limit below which jobs are accepted again.
ACCEPT_FRACTION = 0.7
#: Fraction of an expected wait that counts as certain. In replays of bursts, jobs of one queue that
#: were refused by the whole wait ended in time as often as too late, since some obtain permits
#: before others that rank ahead.
CERTAIN_FRACTION = 0.5
#: Seconds after which a forecast decides nothing any more.
MAX_FORECAST_AGE_SECONDS = 1.0
#: Seconds without a refusal after which a queue accepts again: its clients have stopped retrying.
REFUSING_SECONDS = 30.0
#: Bounds of the answered times to retry, in seconds.
MIN_RETRY_SECONDS = 1
MAX_RETRY_SECONDS = 30
#: Minimum time in seconds over which the retries of clients are spread that are refused together,
#: and the fraction of the wait over which they are spread if that is more.
MIN_SPREAD_SECONDS = 1.0
SPREAD_FRACTION = 1 / 3
#: Seconds of refusals that are spread, and the smallest number that is assumed.
SPREAD_WINDOW_SECONDS = 1.0
MIN_SPREAD_COUNT = 10
MILLISECONDS = 1000


class RefusalReason(enum.Enum):
    """Why a job is refused; the value is the label of the counter."""

    OVERLOAD = 'overload'
    QUOTA = 'quota'


@dataclass(frozen=True)
class AdmissionVerdict:
    """Why a job is to be refused, ``None`` if it is accepted; all times are in seconds."""

    reason: RefusalReason | None = None
    wait: float = 0.0
    path: float = 0.0
    limit: float = 0.0

    @property
    def capacity_in(self) -> float:
        """Return the seconds until such a job would be accepted again."""
        return self.wait - (ACCEPT_FRACTION * self.limit - self.path) / CERTAIN_FRACTION

    def exceeds(self, fraction: float) -> bool:
        """Return whether the job would certainly end after a fraction of its limit."""
        return CERTAIN_FRACTION * self.wait + self.path > fraction * self.limit


@dataclass(frozen=True)
class BacklogKey:
    """A queue that refuses jobs, or an account at its quota whose jobs a queue refuses."""

    queue: str
    account: str = ''


@dataclass(frozen=True)
class BacklogChange:
    """A change of a backlog's state, with the inputs of the decision."""

    key: BacklogKey
    refuses: bool
    verdict: AdmissionVerdict


@dataclass
class _Backlog:
    verdict: AdmissionVerdict
    refused_at: float


class RetrySpread:
    """Spreads the retries of one queue's clients, in the order in which they were refused."""

    def __init__(self) -> None:
        """Start without refusals."""
        self._last_return_at = 0.0
        self._refused_at: deque[float] = deque()

    def next_retry_after(
        self, verdict: AdmissionVerdict, now: float, *, is_repeated: bool = False
    ) -> int:
        """Return the whole seconds after which the next client is to retry.

        A client whose job was refused before has waited longest, and its retries are spread
        already: it is to return as soon as there is capacity.
        """
        earliest = now + max(MIN_RETRY_SECONDS, verdict.capacity_in)
        if is_repeated:
            return _bounded_seconds(earliest - now)
        while self._refused_at and self._refused_at[0] < now - SPREAD_WINDOW_SECONDS:
            self._refused_at.popleft()
        self._refused_at.append(now)
        spread = max(MIN_SPREAD_SECONDS, SPREAD_FRACTION * verdict.wait)
        gap = spread / max(MIN_SPREAD_COUNT, len(self._refused_at))
        return_at = min(earliest + spread, max(earliest, self._last_return_at + gap))
        self._last_return_at = return_at
        return _bounded_seconds(return_at - now)


class Admission:
    """Judges new jobs by the latest forecast of the load."""

    def __init__(self, cell: Cell, order: WaitingOrder) -> None:
        """Judge jobs of ``cell``, whose waiting steps are placed in the order of ``order``."""
        self._cell = cell
        self._order = order
        self._forecast: LoadForecast | None = None
        self._backlog_by_key: dict[BacklogKey, _Backlog] = {}
        self._spread_by_queue: dict[str, RetrySpread] = {}
        self._changes: list[BacklogChange] = []

    def refresh(self, now: float, unix_time: float) -> None:
        """Compute the forecast, and accept jobs again where a backlog has become short."""
        self._forecast = make_forecast(self._cell, self._order, now, unix_time)
        for key, backlog in tuple(self._backlog_by_key.items()):
            wait = self._expected_wait(key)
            verdict = replace(backlog.verdict, reason=None, wait=wait)
            is_long = verdict.exceeds(ACCEPT_FRACTION)
            if not is_long or now > backlog.refused_at + REFUSING_SECONDS:
                self._backlog_by_key.pop(key)
                self._changes.append(BacklogChange(key, refuses=False, verdict=verdict))

    def judge(
        self, job_id: str, submission: Submission, now: float, unix_time: float
    ) -> AdmissionVerdict:
        """Return whether to refuse a job that is unknown to the cell."""
        forecast = self._forecast
        if forecast is None or now > forecast.made_at + MAX_FORECAST_AGE_SECONDS:
            return AdmissionVerdict()
        job = JobRun(job_id, submission, now)
        steps = job.ready_steps(unix_time)
        queue = self._cell.queue_of(job)
        if queue is None or not steps or any(step.long_running for step in job.spec.steps):
            return AdmissionVerdict()
        for step in steps:
            if could_start_at_once(self._cell, job, step.step):
                return AdmissionVerdict()
        job.exceeds_account_rate = self._cell.would_exceed_account_rate(submission)
        objective = self._cell.objective_of(job)
        path = self._path_seconds(job)
        expected = ExpectedWait()
        # A job is ranked before late ones until it is late itself. It waits behind them only if it
        # cannot start in time.
        for lateness in (0, 1):
            inputs = RankInputs(job, steps[0], queue.priority, lateness, now + objective, now)
            expected = forecast.expected_wait(queue.name, job.account, self._order.rank(inputs))
            expected = expected.after(now - forecast.made_at)
            if expected.seconds + path <= objective:
                return AdmissionVerdict()
        return self._judge_wait(job, expected, path, MAX_USEFUL_LATENESS * objective, now)

    def next_retry_after(
        self, queue: str, verdict: AdmissionVerdict, now: float, *, is_repeated: bool
    ) -> int:
        """Return the whole seconds after which the client of a refused job is to retry."""
        spread = self._spread_by_queue.setdefault(queue, RetrySpread())
        return spread.next_retry_after(verdict, now, is_repeated=is_repeated)

    def take_changes(self) -> list[BacklogChange]:
        """Return the state changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def make_digest(self, refused: tuple[RefusedJob, ...]) -> LoadDigest:
        """Return the digest of the latest forecast, with the jobs that were refused lately."""
        forecast = self._forecast
        queues: list[QueueLoad] = []
        accounts: list[AccountLoad] = []
        for queue in forecast.queues if forecast else ():
            key = BacklogKey(queue)
            wait_ms = round(MILLISECONDS * self._expected_wait(key))
            queues.append(QueueLoad(queue, wait_ms, key in self._backlog_by_key))
            for account in sorted(forecast.accounts_at_quota(queue)) if forecast else ():
                key = BacklogKey(queue, account)
                wait_ms = round(MILLISECONDS * self._expected_wait(key))
                refuses = key in self._backlog_by_key
                accounts.append(AccountLoad(account, queue, wait_ms, refuses))
        return LoadDigest(
            DIGEST_VERSION,
            tuple(queues[:MAX_DIGEST_ROWS]),
            tuple(accounts[:MAX_DIGEST_ROWS]),
            refused,
        )

    def _expected_wait(self, key: BacklogKey) -> float:
        if self._forecast is None:
            return 0.0
        expected = self._forecast.expected_wait(key.queue, key.account)
        return expected.quota if key.account else expected.capacity

    def _path_seconds(self, job: JobRun) -> float:
        run_times, queue = self._cell.run_times, job.submission.queue
        return critical_path_seconds(
            job.spec, [run_times.expected_seconds(queue, step.estimate) for step in job.spec.steps]
        )

    def _judge_wait(
        self, job: JobRun, expected: ExpectedWait, path: float, limit: float, now: float
    ) -> AdmissionVerdict:
        queue = job.submission.queue
        for reason, wait, key in (
            (RefusalReason.OVERLOAD, expected.capacity, BacklogKey(queue)),
            (RefusalReason.QUOTA, expected.quota, BacklogKey(queue, job.account)),
        ):
            backlog = self._backlog_by_key.get(key)
            verdict = AdmissionVerdict(reason, wait, path, limit)
            if not wait or not verdict.exceeds(1.0 if backlog is None else ACCEPT_FRACTION):
                continue
            if backlog is None:
                self._changes.append(BacklogChange(key, refuses=True, verdict=verdict))
            self._backlog_by_key[key] = _Backlog(verdict, now)
            return verdict
        return AdmissionVerdict(None, expected.seconds, path, limit)


def _bounded_seconds(seconds: float) -> int:
    rounded_up = math.ceil(round(seconds, 3))
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, rounded_up))
