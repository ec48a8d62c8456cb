"""From ended tasks to records: outcomes, retries, stops."""

import random

import curio

from dandelionreel.backing import LogError, StreamWriter
from dandelionreel.jobs._book import JobBook, JobState, Outcome
from dandelionreel.jobs._desk import Desk
from dandelionreel.jobs._lapses import judge_lapse
from dandelionreel.jobs._metrics import JobMetrics
from dandelionreel.jobs._orders import Orders
from dandelionreel.jobs._records import AttemptEnded
from dandelionreel.jobs._tracks import AttemptTrack
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.routing import RetryBudget

#: In a log outage the record of an end waits this long for the log to return.
OUTAGE_PATIENCE = 86_400.0
BACKOFF_BASE = 0.5
BACKOFF_LIMIT = 60.0
BACKOFF_DOUBLINGS = 10
#: A retry outside the budget waits this much longer.
BUDGET_PAUSE = 5.0


class RetryBudgets:
    """The budget of each customer in this zone."""

    def __init__(self) -> None:
        """Start with none."""
        self._budget_by_customer: dict[str, RetryBudget] = {}

    def of(self, customer: str) -> RetryBudget:
        """Return a customer's budget."""
        return self._budget_by_customer.setdefault(customer, RetryBudget())


class AttemptSettler:
    """Writes what became of attempts, and stops what must not go on."""

    def __init__(
        self,
        desk: Desk,
        clock: Clock,
        jobs: JobBook,
        writer: StreamWriter,
        orders: Orders,
        budgets: RetryBudgets,
        metrics: JobMetrics,
        journal: Journal,
    ) -> None:
        """Settle the attempts of ``desk``."""
        self._desk = desk
        self._clock = clock
        self._jobs = jobs
        self._writer = writer
        self._orders = orders
        self._budgets = budgets
        self._metrics = metrics
        self._journal = journal
        self._random = random.Random()

    async def settle_ended(self) -> None:
        """Have the ends of all ended attempts written, each once."""
        for track in tuple(self._desk.tracks.attempt_by_job.values()):
            if not track.has_ended or track.finished:
                continue
            job = self._jobs.get(track.job)
            if job is not None and job.last is not None:
                if job.state is not JobState.RUNNING or job.last.number > track.number:
                    self._desk.tracks.drop(track.job)
                    continue
            track.finished = True
            await curio.spawn(self._settle, track, self._desk.epoch, daemon=True)

    def stop_unwanted(self) -> None:
        """Stop what was cancelled and what is left of a gang that went wrong."""
        for track in tuple(self._desk.tracks.attempt_by_job.values()):
            job = self._jobs.get(track.job)
            cancelled = job is not None and job.cancelled
            if track.stopping or not (cancelled or track.has_gone_wrong):
                continue
            track.stopping = True
            for task in track.open_tasks():
                self._orders.stop_later(self._desk.epoch, task.worker, task.task_id)

    async def _settle(self, track: AttemptTrack, epoch: int) -> None:
        outcome = self._judge(track)
        record = AttemptEnded(track.job, track.number, epoch, outcome.value)
        self._journal.tell_frequent(
            Part.JOBS,
            f'attempt {track.number} of {track.job} ended; {outcome.value}.',
            job=track.job,
            outcome=outcome.value,
        )
        self._plan_retry(track, outcome)
        try:
            await self._writer.write(record, OUTAGE_PATIENCE)
        except LogError:
            track.finished = False
            return
        if self._desk.epoch != epoch:
            return
        self._desk.tracks.drop(track.job)
        self._desk.changes.job_ids[track.job] = None
        self._metrics.ended(track.customer, outcome.value)
        await self._desk.wake.notify()

    def _judge(self, track: AttemptTrack) -> Outcome:
        job = self._jobs.get(track.job)
        if job is None:
            return track.outcome()
        earlier = [attempt for attempt in job.attempts if attempt.number < track.number]
        return judge_lapse(track.outcome(), earlier, self._clock.wall())

    def _plan_retry(self, track: AttemptTrack, outcome: Outcome) -> None:
        """Set when the next attempt may come: backoff with full jitter, in budget."""
        if outcome in {Outcome.NOT_STARTED, Outcome.SUCCEEDED, Outcome.STOPPED}:
            return
        job = self._jobs.get(track.job)
        failures = job.failures if job else 0
        longest = min(BACKOFF_LIMIT, BACKOFF_BASE * 2 ** min(failures + 1, BACKOFF_DOUBLINGS))
        pause = self._random.uniform(0, longest)
        if not self._budgets.of(track.customer).use_retry():
            pause += BUDGET_PAUSE
        self._desk.not_before[track.job] = self._clock.wall() + pause
