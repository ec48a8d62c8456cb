"""Writes the outcomes of ended attempts, schedules retries and stops unwanted attempts."""

import random

import curio

from dandelionreel.backing import LogError, StreamWriter
from dandelionreel.jobs._dispatcher_state import DispatcherState
from dandelionreel.jobs._job_projection import JobProjection, JobState, Outcome
from dandelionreel.jobs._lapses import classify_lapse
from dandelionreel.jobs._metrics import JobMetrics
from dandelionreel.jobs._order_sender import OrderSender
from dandelionreel.jobs._records import AttemptEnded
from dandelionreel.jobs._tracked_attempts import TrackedAttempt
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.routing import RetryBudget

#: How long the outcome of an attempt waits for the log during an outage.
OUTAGE_WRITE_TIMEOUT_SECONDS = 86_400.0
BACKOFF_BASE_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 60.0
MAX_BACKOFF_DOUBLINGS = 10
#: Added to the delay of a retry that exceeds the retry budget.
OVER_BUDGET_DELAY_SECONDS = 5.0


class RetryBudgets:
    """The retry budgets of the customers in this zone."""

    def __init__(self) -> None:
        """Start with no budgets."""
        self._budget_by_customer: dict[str, RetryBudget] = {}

    def for_customer(self, customer: str) -> RetryBudget:
        """Return a customer's retry budget."""
        return self._budget_by_customer.setdefault(customer, RetryBudget())


class AttemptFinalizer:
    """Writes the outcomes of attempts, and stops cancelled or failed ones."""

    def __init__(
        self,
        state: DispatcherState,
        clock: Clock,
        jobs: JobProjection,
        writer: StreamWriter,
        orders: OrderSender,
        budgets: RetryBudgets,
        metrics: JobMetrics,
        journal: Journal,
    ) -> None:
        """Finalize the attempts that ``state`` tracks."""
        self._state = state
        self._clock = clock
        self._jobs = jobs
        self._writer = writer
        self._orders = orders
        self._budgets = budgets
        self._metrics = metrics
        self._journal = journal
        self._random = random.Random()

    async def finalize_ended_attempts(self) -> None:
        """Start writing the outcome of each ended attempt, once."""
        for tracked in tuple(self._state.tracker.attempt_by_job.values()):
            if not tracked.has_ended or tracked.is_finalizing:
                continue
            job = self._jobs.get(tracked.job)
            if job is not None and job.last_attempt is not None:
                if job.state is not JobState.RUNNING or job.last_attempt.number > tracked.number:
                    self._state.tracker.drop(tracked.job)
                    continue
            tracked.is_finalizing = True
            await curio.spawn(self._finalize, tracked, self._state.epoch, daemon=True)

    def stop_unwanted_attempts(self) -> None:
        """Stop cancelled attempts, and the remaining tasks of a gang of which one has failed."""
        for tracked in tuple(self._state.tracker.attempt_by_job.values()):
            job = self._jobs.get(tracked.job)
            cancelled = job is not None and job.cancelled
            if tracked.stop_requested or not (cancelled or tracked.has_failed_task):
                continue
            tracked.stop_requested = True
            for task in tracked.unfinished_tasks():
                self._orders.queue_stop(self._state.epoch, task.worker, task.task_id)

    async def _finalize(self, tracked: TrackedAttempt, epoch: int) -> None:
        outcome = self._classify_outcome(tracked)
        record = AttemptEnded(tracked.job, tracked.number, epoch, outcome.value)
        self._journal.log_sampled(
            Part.JOBS,
            f'attempt {tracked.number} of {tracked.job} ended; {outcome.value}.',
            job=tracked.job,
            outcome=outcome.value,
        )
        self._schedule_retry(tracked, outcome)
        try:
            await self._writer.write(record, OUTAGE_WRITE_TIMEOUT_SECONDS)
        except LogError:
            tracked.is_finalizing = False
            return
        if self._state.epoch != epoch:
            return
        self._state.tracker.drop(tracked.job)
        self._state.changes.job_ids[tracked.job] = None
        self._metrics.count_end(tracked.customer, outcome.value)
        await self._state.wake.notify()

    def _classify_outcome(self, tracked: TrackedAttempt) -> Outcome:
        job = self._jobs.get(tracked.job)
        if job is None:
            return tracked.combined_outcome()
        earlier = [attempt for attempt in job.attempts if attempt.number < tracked.number]
        return classify_lapse(tracked.combined_outcome(), earlier, self._clock.unix_time())

    def _schedule_retry(self, tracked: TrackedAttempt, outcome: Outcome) -> None:
        """Set the earliest time of the next attempt: exponential backoff with full jitter."""
        if outcome in {Outcome.NOT_STARTED, Outcome.SUCCEEDED, Outcome.STOPPED}:
            return
        job = self._jobs.get(tracked.job)
        failures = job.failures if job else 0
        max_delay = min(
            BACKOFF_MAX_SECONDS,
            BACKOFF_BASE_SECONDS * 2 ** min(failures + 1, MAX_BACKOFF_DOUBLINGS),
        )
        delay = self._random.uniform(0, max_delay)
        if not self._budgets.for_customer(tracked.customer).use_retry():
            delay += OVER_BUDGET_DELAY_SECONDS
        self._state.not_before[tracked.job] = self._clock.unix_time() + delay
