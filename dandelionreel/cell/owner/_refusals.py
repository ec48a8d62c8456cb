"""Refuses new jobs that would end too late to be of use, and stores which ones were refused.

A client is answered "not run" only after a heartbeat of this owner that has the job's id was
stored. A successor therefore knows the id, and starts no submission of it that the store carries
out later. The stored heartbeat also proves that no successor had accepted the job before.
"""

from collections import deque
from dataclasses import dataclass

import curio

from dandelionreel.cell.decisions import (
    Admission,
    AdmissionVerdict,
    BacklogChange,
    RefusalReason,
    WaitingOrder,
)
from dandelionreel.cell.membership import HEARTBEAT_SECONDS
from dandelionreel.cell.model import (
    MAX_DIGEST_REFUSALS,
    SUBMISSION_PREFIX,
    KeyedRecord,
    RefusedJob,
    Submission,
    encode_digest,
    make_record,
    make_tombstone,
)
from dandelionreel.cell.owner._dependencies import DispatcherDependencies
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.kernel import ChangeNotifier, Part

#: Seconds between forecasts of the load.
FORECAST_SECONDS = 0.3
#: Each forecast is followed by a pause of at least this many times its duration, so that a long
#: backlog or a slow host leaves processor time for orders.
FORECAST_PAUSE_FACTOR = 30
#: Minimum seconds between two heartbeats while refusals wait for them; each refusal needs two.
MIN_HEARTBEAT_SECONDS = 0.1
#: Seconds after which a job is accepted whose refusal has not been stored, less than the relaying
#: host waits.
MAX_DECISION_SECONDS = 0.6
#: Share of the time for a call that may pass before a job is accepted, so that it can be stored.
MAX_DECISION_SHARE = 0.7
#: Largest difference in seconds between the time of an attempt and this host's clock at which the
#: job may be refused: the call's timeout, with allowance for clock differences.
MAX_ATTEMPT_SKEW_SECONDS = 4.0
#: Seconds for which a refused job is in every digest. Hosts that read all records need one; a host
#: that starts from a snapshot reads only the newest.
DIGEST_SECONDS = 3.0


@dataclass(frozen=True)
class Refusal:
    """A job was refused and is not run; ``retry_after`` is in whole seconds."""

    reason: RefusalReason
    retry_after: int


class Refusals:
    """The refusals of one term."""

    def __init__(
        self,
        dependencies: DispatcherDependencies,
        context: OwnerContext,
        order: WaitingOrder,
    ) -> None:
        """Judge new jobs by the cell of ``context``, whose steps are placed in ``order``."""
        self._owner_context = context
        self._cell = context.cell
        self._cell_state = dependencies.jobs.state
        self._follower = dependencies.follower
        self._clock = dependencies.clock
        self._journal = dependencies.journal
        self._count_refused_job = dependencies.count_refused_job
        self._admission = Admission(context.cell, order)
        #: Jobs refused lately, each with the time in monotonic seconds.
        self._recent: deque[tuple[float, RefusedJob]] = deque()
        #: Number of refusals, and how many of them are stored with a heartbeat.
        self._refused_count = 0
        self._stored_count = 0
        self._stored = ChangeNotifier()
        self._latest_heartbeat = 0
        self._heartbeat_wanted = curio.Event()

    async def run(self) -> None:
        """Forecast the load until the term ends."""
        self._journal.log(
            Part.JOBS,
            'refuses new jobs when they would end too late to be of use.',
            epoch=self._owner_context.term.epoch,
        )
        while True:
            pause = FORECAST_SECONDS
            # Without a recent forecast, jobs are accepted.
            if not self._owner_context.pacing.is_late:
                started_at = self._clock.monotonic()
                self._admission.refresh(started_at, self._clock.unix_time())
                self._log_changes()
                elapsed = self._clock.monotonic() - started_at
                pause = max(pause, FORECAST_PAUSE_FACTOR * elapsed)
            await curio.sleep(pause)

    async def refuse_if_useless(
        self, job_id: str, submission: Submission, timeout: float, attempted_at: float
    ) -> Refusal | None:
        """Return the refusal of a job that would end too late, ``None`` to accept it.

        The refusal counts from the time of the attempt by the clock of the host that relays it. If
        that host does not get the answer and stores the job itself, that is a later attempt.

        The job is accepted where a refusal cannot be relied upon: the store is not read up to a
        time after the job's arrival, or the refusal is not stored in time.
        """
        deadline = self._clock.monotonic() + min(MAX_DECISION_SECONDS, MAX_DECISION_SHARE * timeout)
        if self._judge(job_id, submission).reason is None or not self._may_refuse(attempted_at):
            return None
        if not await self._is_unknown_to_store(job_id, deadline):
            return None
        # Capacity may have become free meanwhile.
        verdict = self._judge(job_id, submission)
        if verdict.reason is None:
            return None
        is_repeated = self._cell_state.refused_jobs.contains(job_id)
        number = self._add(job_id, attempted_at)
        if not await self._wait_until_stored(number, deadline) or self._is_known(job_id):
            return None
        retry_after = self._admission.next_retry_after(
            submission.queue, verdict, self._clock.monotonic(), is_repeated=is_repeated
        )
        self._report(job_id, submission, verdict, verdict.reason, retry_after)
        return Refusal(verdict.reason, retry_after)

    async def pause_between_heartbeats(self) -> None:
        """Wait until the next heartbeat is due, sooner if a refusal waits for one."""
        await curio.sleep(MIN_HEARTBEAT_SECONDS)
        await curio.ignore_after(
            HEARTBEAT_SECONDS - MIN_HEARTBEAT_SECONDS, self._heartbeat_wanted.wait
        )
        self._heartbeat_wanted.clear()

    def make_digest_content(self, heartbeat: int) -> tuple[bytes, int]:
        """Return the encoded digest for a heartbeat, and the number of refusals it covers."""
        self._latest_heartbeat = heartbeat
        oldest = self._clock.monotonic() - DIGEST_SECONDS
        while self._recent and self._recent[0][0] < oldest:
            self._recent.popleft()
        digest = self._admission.make_digest(tuple(refused for _, refused in self._recent))
        return encode_digest(digest), self._refused_count

    async def record_stored_heartbeat(self, number: int) -> None:
        """Note that a heartbeat was stored whose digest covers that number of refusals."""
        self._stored_count = max(self._stored_count, number)
        await self._stored.notify()

    def make_corrections(self) -> list[KeyedRecord]:
        """Return the records that undo late appends of jobs which were refused since.

        A job that was not accepted since is deleted. If it were cancelled, it would stay known, and
        its client's next attempt would count as accepted.
        """
        late = {*self._cell_state.refused_submissions(), *self._cell_state.overwritten_jobs}
        records = []
        for job_id in late:
            accepted = self._cell.job_by_id.get(job_id)
            if accepted is None and not self._cell_state.has_refused_submission(job_id):
                continue
            if accepted is not None and (accepted.is_finished or not accepted.stored):
                continue
            outcome = 'deleted and not started' if accepted is None else 'replaced by the newer one'
            self._journal.log(
                Part.JOBS,
                f'job {job_id} was stored after its refusal: the submission is {outcome}.',
                job=job_id,
                epoch=self._owner_context.term.epoch,
            )
            key = SUBMISSION_PREFIX + job_id
            records.append(
                make_tombstone(key) if accepted is None else make_record(key, accepted.submission)
            )
        return records

    def _judge(self, job_id: str, submission: Submission) -> AdmissionVerdict:
        return self._admission.judge(
            job_id, submission, self._clock.monotonic(), self._clock.unix_time()
        )

    def _may_refuse(self, attempted_at: float) -> bool:
        """Return whether this host acts as the owner and can store the refusal with a heartbeat."""
        if abs(attempted_at - self._clock.unix_time()) > MAX_ATTEMPT_SKEW_SECONDS:
            return False
        return self._owner_context.may_start_tasks() and len(self._recent) < MAX_DIGEST_REFUSALS

    def _add(self, job_id: str, attempted_at: float) -> int:
        """Add a refused job, and return its number."""
        refused = RefusedJob(job_id, attempted_at)
        self._cell_state.refused_jobs.merge((refused,), self._clock.unix_time())
        self._recent.append((self._clock.monotonic(), refused))
        self._refused_count += 1
        return self._refused_count

    def _is_known(self, job_id: str) -> bool:
        return job_id in self._cell.job_by_id or self._cell_state.find_job(job_id) is not None

    async def _is_unknown_to_store(self, job_id: str, deadline: float) -> bool:
        """Return whether the store has no such job, as of now or later.

        The next heartbeat has been read back: so has everything that was stored before it.
        """
        needed = self._latest_heartbeat + 1
        await self._heartbeat_wanted.set()
        while not self._has_read_heartbeat(needed):
            seen = self._follower.changed.count
            if not await self._wait(self._follower.changed, seen, deadline):
                return False
        return not self._is_known(job_id)

    def _has_read_heartbeat(self, number: int) -> bool:
        owner = self._cell_state.owner
        own_term = self._owner_context.term.term
        return owner is not None and owner.term == own_term and owner.beat >= number

    async def _wait_until_stored(self, number: int, deadline: float) -> bool:
        await self._heartbeat_wanted.set()
        while self._stored_count < number:
            seen = self._stored.count
            if not await self._wait(self._stored, seen, deadline):
                return False
        return self._owner_context.may_send_orders()

    async def _wait(self, notifier: ChangeNotifier, seen: int, deadline: float) -> bool:
        """Wait for the next change; return ``False`` once the deadline has passed."""
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            return False
        await notifier.wait(seen, remaining)
        return True

    def _report(
        self,
        job_id: str,
        submission: Submission,
        verdict: AdmissionVerdict,
        reason: RefusalReason,
        retry_after: int,
    ) -> None:
        self._count_refused_job(submission.queue, reason.value)
        self._journal.log_sampled(
            Part.JOBS,
            f'job {job_id} is refused for {reason.value}: it would end too late to be of use.',
            job=job_id,
            queue=submission.queue,
            account=submission.account,
            wait=round(verdict.wait, 3),
            path=round(verdict.path, 3),
            limit=round(verdict.limit, 3),
            retry_after=retry_after,
            epoch=self._owner_context.term.epoch,
        )

    def _log_changes(self) -> None:
        for change in self._admission.take_changes():
            self._log_change(change)

    def _log_change(self, change: BacklogChange) -> None:
        verdict = change.verdict
        outcome = 'refuses new jobs' if change.refuses else 'accepts new jobs again'
        self._journal.log(
            Part.JOBS,
            f'queue {change.key.queue} {outcome}.',
            queue=change.key.queue,
            account=change.key.account,
            wait=round(verdict.wait, 3),
            path=round(verdict.path, 3),
            limit=round(verdict.limit, 3),
            epoch=self._owner_context.term.epoch,
        )
