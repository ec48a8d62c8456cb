"""All jobs of one zone, computed from the records of its log stream.

Conflicts are decided by log order alone: only the first valid intent for an
attempt counts, and an intent is ignored if its dispatch epoch is older than
the one in force at the intent's position in the log.
"""

import enum
from dataclasses import dataclass, field, replace

import msgspec
import xxhash

from dandelionreel.backing import Position
from dandelionreel.jobs._records import (
    AttemptEnded,
    AttemptIntent,
    AttemptSnapshot,
    JobAccepted,
    JobArrived,
    JobMoved,
    JobResolved,
    JobsCancelled,
    JobSnapshot,
)
from dandelionreel.jobs._spec import JobSpec
from dandelionreel.ownership import DISPATCH_SHARD, ShardProjection


class JobState(enum.Enum):
    """The state of a job.

    ``uncertain``: not idempotent, and it may have run. ``parked``: it failed
    ``max_attempts`` times. An operator resolves both.
    ``moved``: it belongs to another zone.
    """

    WAITING = 'waiting'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNCERTAIN = 'uncertain'
    PARKED = 'parked'
    MOVED = 'moved'


class Outcome(enum.Enum):
    """How an attempt ended.

    ``not_started``: no task ran. ``stopped``: stopped on request.
    ``lapsed``: ended when its lease expired. ``lost``: the result is unknown.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    NOT_STARTED = 'not_started'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    LOST = 'lost'


LIVE_STATES = frozenset((JobState.WAITING, JobState.RUNNING))
#: States that an operator may resolve.
RESOLVABLE_STATES = frozenset((JobState.UNCERTAIN, JobState.PARKED))
UNFINISHED_STATES = LIVE_STATES | RESOLVABLE_STATES | {JobState.MOVED}


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt; ``outcome`` is ``None`` while it may run.

    ``intent_written_at`` is the time of its intent, in Unix time.
    """

    number: int
    epoch: int
    member: str
    workers: tuple[str, ...]
    intent_written_at: float
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Job:
    """A job; times are in Unix time, ``written_at`` is that of its newest record."""

    id: str
    key: str
    digest: str
    spec: JobSpec
    state: JobState
    accepted_at: float
    written_at: float
    attempts: tuple[Attempt, ...] = ()
    failures: int = 0
    cancelled: bool = False
    detail: str = ''
    moved_to: str = ''
    ended_at: float = 0

    @property
    def last_attempt(self) -> Attempt | None:
        """Return the latest attempt."""
        return self.attempts[-1] if self.attempts else None

    def matches_intent(self, intent: AttemptIntent) -> bool:
        """Return whether the job's running attempt comes from exactly this intent.

        The same dispatcher may have written an earlier intent whose append
        timed out but took effect, with other workers. If that one counts, a
        successor looks for the tasks on those workers, does not find them and
        starts them again.
        """
        last = self.last_attempt
        if last is None or self.state is not JobState.RUNNING:
            return False
        identity = (intent.attempt, intent.epoch, intent.member, intent.workers)
        return identity == (last.number, last.epoch, last.member, last.workers)

    @property
    def next_attempt(self) -> int:
        """Return the number that the next attempt has."""
        return len(self.attempts) + 1


@dataclass
class JobChanges:
    """The ids of jobs that changed since a subscriber last called ``pop_all``."""

    job_ids: dict[str, None] = field(default_factory=dict)

    def pop_all(self) -> tuple[str, ...]:
        """Return the ids of the changed jobs and clear them."""
        job_ids = tuple(self.job_ids)
        self.job_ids.clear()
        return job_ids


class JobProjection:
    """All jobs of a zone, by id and by idempotency key."""

    def __init__(self, shards: ShardProjection, max_ended: int, max_keys: int) -> None:
        """Check intents against the dispatch epoch of ``shards``.

        Keeps ``max_ended`` ended jobs (1.2 KB each), and of older ones only
        the idempotency keys, at most ``max_keys``.
        """
        self._shards = shards
        self._max_ended = max_ended
        self._max_keys = max_keys
        self._ended_id_by_key_hash: dict[int, str] = {}
        self._job_by_id: dict[str, Job] = {}
        self._id_by_key: dict[tuple[str, str], str] = {}
        self._ended_ids: dict[str, None] = {}
        self._ids_by_state: dict[JobState, dict[str, None]] = {state: {} for state in JobState}
        self._subscriptions: list[JobChanges] = []
        self._live_by_customer: dict[str, int] = {}

    def subscribe(self) -> JobChanges:
        """Return a collector of changed jobs, which starts with all known jobs."""
        changes = JobChanges(dict.fromkeys(self._job_by_id))
        self._subscriptions.append(changes)
        return changes

    def reset(self) -> None:
        """Remove all jobs, before the stream is read again."""
        self._job_by_id.clear()
        self._id_by_key.clear()
        self._ended_ids.clear()
        self._live_by_customer.clear()
        self._ended_id_by_key_hash.clear()
        for ids in self._ids_by_state.values():
            ids.clear()

    def get(self, job: str) -> Job | None:
        """Return a job, or ``None`` if it is unknown."""
        return self._job_by_id.get(job)

    def find_by_key(self, customer: str, key: str) -> Job | None:
        """Return the job that a customer submitted with an idempotency key."""
        job = self._id_by_key.get((customer, key))
        return self._job_by_id.get(job) if job else None

    def find_ended_id(self, customer: str, key: str) -> str:
        """Return the id of the dropped ended job with an idempotency key, or an empty string."""
        return self._ended_id_by_key_hash.get(hash_key(customer, key), '')

    def in_state(self, *states: JobState) -> tuple[Job, ...]:
        """Return the jobs in the given states, ordered by when they entered their state."""
        return tuple(self._job_by_id[job] for state in states for job in self._ids_by_state[state])

    def count(self, state: JobState) -> int:
        """Return how many jobs are in a state."""
        return len(self._ids_by_state[state])

    def count_live(self, customer: str) -> int:
        """Return how many jobs of a customer are waiting or running."""
        return self._live_by_customer.get(customer, 0)

    def page(self, after: str, limit: int, customer: str, state: str) -> tuple[Job, ...]:
        """Return up to ``limit`` jobs with ids above ``after``, by id; empty filters match all."""
        found = [
            job
            for job in self._job_by_id.values()
            if job.id > after
            and customer in {'', job.spec.customer}
            and state in {'', job.state.value}
        ]
        found.sort(key=_by_id)
        return tuple(found[:limit])

    def apply(self, record: msgspec.Struct, position: Position) -> None:
        """Apply one record of the zone's stream."""
        if isinstance(record, JobAccepted):
            self._apply_accepted(record, position)
        elif isinstance(record, AttemptIntent):
            self._apply_intent(record, position)
        elif isinstance(record, AttemptEnded):
            self._apply_attempt_end(record, position)
        elif isinstance(record, JobsCancelled):
            for job_id in record.jobs:
                self._apply_cancellation(job_id, position)
        elif isinstance(record, JobResolved):
            self._apply_resolution(record, position)
        elif isinstance(record, JobMoved):
            self._apply_move(record)
        elif isinstance(record, JobArrived):
            self._apply_arrival(record, position)
        elif isinstance(record, JobSnapshot):
            self._apply_snapshot(record, position)

    def _apply_accepted(self, record: JobAccepted, position: Position) -> None:
        spec = record.spec
        known = self._id_by_key.get((spec.customer, record.key))
        if record.job in self._job_by_id or known is not None:
            return
        if self.find_ended_id(spec.customer, record.key):
            return
        self._id_by_key[spec.customer, record.key] = record.job
        self._put(
            Job(
                record.job,
                record.key,
                record.digest,
                spec,
                JobState.WAITING,
                position.written_at,
                position.written_at,
            ),
        )

    def _apply_intent(self, record: AttemptIntent, position: Position) -> None:
        job = self._job_by_id.get(record.job)
        if job is None or job.state is not JobState.WAITING:
            return
        if record.attempt != job.next_attempt:
            return
        if record.epoch != self._shards.epoch(DISPATCH_SHARD):
            return
        attempt = Attempt(
            record.attempt,
            record.epoch,
            record.member,
            record.workers,
            position.written_at,
        )
        self._put(
            replace(
                job,
                state=JobState.RUNNING,
                attempts=(*job.attempts, attempt),
                written_at=position.written_at,
            ),
        )

    def _apply_attempt_end(self, record: AttemptEnded, position: Position) -> None:
        job = self._job_by_id.get(record.job)
        if job is None or job.state is not JobState.RUNNING or job.last_attempt is None:
            return
        if record.attempt != job.last_attempt.number:
            return
        # A replaced dispatcher may be wrong about the outcome: its successor
        # may have seen the task run.
        if record.epoch != self._shards.epoch(DISPATCH_SHARD):
            return
        outcome = Outcome(record.outcome)
        ended = replace(job.last_attempt, outcome=outcome)
        job = replace(
            job,
            attempts=(*job.attempts[:-1], ended),
            detail=record.detail,
            written_at=position.written_at,
        )
        self._put(self._job_after_attempt(job, outcome, position))

    def _job_after_attempt(self, job: Job, outcome: Outcome, position: Position) -> Job:
        if outcome is Outcome.SUCCEEDED and job.spec.task_class != 'service':
            return _end_job(job, JobState.SUCCEEDED, position)
        if job.cancelled:
            return _end_job(job, JobState.CANCELLED, position)
        if outcome in {Outcome.NOT_STARTED, Outcome.SUCCEEDED}:
            return replace(job, state=JobState.WAITING)
        if not job.spec.idempotent:
            return self._job_after_non_idempotent_run(job, outcome, position)
        if outcome is Outcome.FAILED:
            job = replace(job, failures=job.failures + 1)
            if job.failures >= job.spec.max_attempts:
                return replace(job, state=JobState.PARKED)
        return replace(job, state=JobState.WAITING)

    def _job_after_non_idempotent_run(self, job: Job, outcome: Outcome, position: Position) -> Job:
        """Return a non-idempotent job that may have run; it is never restarted automatically."""
        if outcome is Outcome.FAILED:
            return _end_job(job, JobState.FAILED, position)
        return replace(job, state=JobState.UNCERTAIN)

    def _apply_cancellation(self, job_id: str, position: Position) -> None:
        job = self._job_by_id.get(job_id)
        if job is None or job.state not in UNFINISHED_STATES:
            return
        if job.state is JobState.RUNNING:
            self._put(replace(job, cancelled=True))
            return
        if job.state is JobState.UNCERTAIN:
            return
        self._put(_end_job(job, JobState.CANCELLED, position))

    def _apply_resolution(self, record: JobResolved, position: Position) -> None:
        job = self._job_by_id.get(record.job)
        if job is None or job.state not in RESOLVABLE_STATES:
            return
        if record.outcome == 'ran':
            self._put(_end_job(job, JobState.SUCCEEDED, position))
            return
        self._put(replace(job, state=JobState.WAITING, failures=0, written_at=position.written_at))

    def _apply_move(self, record: JobMoved) -> None:
        job = self._job_by_id.get(record.job)
        if job is None or job.state is not JobState.WAITING:
            return
        self._put(replace(job, state=JobState.MOVED, moved_to=record.zone))

    def _apply_arrival(self, record: JobArrived, position: Position) -> None:
        job = self._job_by_id.get(record.job)
        if job is None or job.state is not JobState.MOVED:
            return
        self._put(replace(job, ended_at=position.written_at))
        self._ended_ids[job.id] = None
        self._drop_oldest_ended()

    def _apply_snapshot(self, record: JobSnapshot, position: Position) -> None:
        known = self._job_by_id.get(record.job)
        if known is not None:
            self._put(replace(known, written_at=position.written_at))
            return
        attempts = tuple(
            Attempt(
                attempt.number,
                attempt.epoch,
                attempt.member,
                attempt.workers,
                attempt.wall,
                Outcome(attempt.outcome) if attempt.outcome else None,
            )
            for attempt in record.attempts
        )
        self._id_by_key[record.spec.customer, record.key] = record.job
        self._put(
            Job(
                record.job,
                record.key,
                record.digest,
                record.spec,
                JobState(record.state),
                record.accepted_at,
                position.written_at,
                attempts,
                record.failures,
                moved_to=record.moved_to,
            ),
        )

    def _put(self, job: Job) -> None:
        previous = self._job_by_id.get(job.id)
        if previous is not None and previous.state is not job.state:
            self._ids_by_state[previous.state].pop(job.id, None)
        self._update_live_count(previous, job)
        self._job_by_id[job.id] = job
        self._ids_by_state[job.state][job.id] = None
        for changes in self._subscriptions:
            changes.job_ids[job.id] = None
        if job.state not in UNFINISHED_STATES:
            self._ended_ids[job.id] = None
            self._drop_oldest_ended()

    def _update_live_count(self, previous: Job | None, job: Job) -> None:
        was_live = previous is not None and previous.state in LIVE_STATES
        is_live = job.state in LIVE_STATES
        if was_live != is_live:
            customer = job.spec.customer
            count = self._live_by_customer.get(customer, 0)
            self._live_by_customer[customer] = count + (1 if is_live else -1)

    def _drop_oldest_ended(self) -> None:
        while len(self._ended_ids) > self._max_ended:
            oldest = next(iter(self._ended_ids))
            self._ended_ids.pop(oldest)
            job = self._job_by_id.pop(oldest)
            self._ids_by_state[job.state].pop(oldest, None)
            self._id_by_key.pop((job.spec.customer, job.key), None)
            # A non-idempotent job that is submitted again after thousands of
            # others have ended must still be recognized as one that ran.
            self._ended_id_by_key_hash[hash_key(job.spec.customer, job.key)] = job.id
            if len(self._ended_id_by_key_hash) > self._max_keys:
                self._ended_id_by_key_hash.pop(next(iter(self._ended_id_by_key_hash)))


def hash_key(customer: str, key: str) -> int:
    """Return a 64-bit hash of a customer's idempotency key."""
    return xxhash.xxh3_64_intdigest(f'{customer}|{key}'.encode())


def make_snapshot(job: Job) -> JobSnapshot:
    """Return the record with the full state of an unfinished job."""
    return JobSnapshot(
        job.id,
        job.key,
        job.digest,
        job.spec,
        job.state.value,
        job.accepted_at,
        job.failures,
        tuple(
            AttemptSnapshot(
                attempt.number,
                attempt.epoch,
                attempt.member,
                attempt.workers,
                attempt.outcome.value if attempt.outcome else '',
                attempt.intent_written_at,
            )
            for attempt in job.attempts
        ),
        job.moved_to,
    )


def _end_job(job: Job, state: JobState, position: Position) -> Job:
    return replace(job, state=state, ended_at=position.written_at, written_at=position.written_at)


def _by_id(job: Job) -> str:
    return job.id
