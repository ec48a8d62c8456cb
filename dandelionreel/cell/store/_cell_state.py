"""State of the cell, built by every host from the records of the cell's topic in log order.

A record that cannot be read leaves the known value of its key unchanged. If no value of the
key is known, the safe assumption is made: the job exists and must not be started, an owner may be
acting, and its tasks may run on any runner.
"""

import copy
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from dandelionreel.cell.model import (
    CANCELLATION_PREFIX,
    FINAL_STATES,
    MAX_STEPS,
    MEMBER_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    RUNNER_SPEEDS_KEY,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    UNKNOWN_LEASES_END_SECONDS,
    Cancellation,
    JobState,
    KeyedRecord,
    LoadDigest,
    Member,
    Owner,
    Progress,
    RunnersInUse,
    RunnerSpeeds,
    Submission,
    UnreadableError,
    UnreadableReason,
    check_job_spec,
    check_leftovers,
    check_progress,
    decode_digest,
    decode_json,
)
from dandelionreel.cell.store._refused_jobs import RefusedJobs

_SUBMISSION = msgspec.json.Decoder(Submission)
_CANCELLATION = msgspec.json.Decoder(Cancellation)
_PROGRESS = msgspec.json.Decoder(Progress)
_OWNER = msgspec.json.Decoder(Owner)
_RUNNERS_IN_USE = msgspec.json.Decoder(RunnersInUse)
_RUNNER_SPEEDS = msgspec.json.Decoder(RunnerSpeeds)
_MEMBER = msgspec.json.Decoder(Member)

#: Steps of all unfinished jobs together: each host has them in its memory, and the owner plans
#: them.
MAX_UNFINISHED_STEPS = 30_000
#: Stands for an owner whose record cannot be read: it may be acting, and may have succeeded
#: another one. Its heartbeats are waited for like those of any owner.
UNKNOWN_OWNER = Owner(0, '', '', unsettled=UNKNOWN_LEASES_END_SECONDS)
#: Stands for runners whose names cannot be read. No runner has this name, so the tasks that
#: may run on them are not started elsewhere until all leases must have expired.
UNKNOWN_RUNNER = '?'


@dataclass(frozen=True)
class StoredJob:
    """The stored records of one job; without a submission it is finished.

    Of an unreadable record only the existence is known. Such a job is shown but not started,
    as it is not known which of its tasks are done.
    """

    id: str
    submission: Submission | None
    cancelled: bool
    progress: Progress | None
    submission_unreadable: bool = False
    progress_unreadable: bool = False

    @property
    def unreadable(self) -> bool:
        """Return whether the job is unfinished and a record needed to run it cannot be read."""
        if self.progress is not None and self.progress.state in FINAL_STATES:
            return False
        return self.submission_unreadable or self.progress_unreadable

    @property
    def account(self) -> str:
        """Return the client account of the job, empty where none is known."""
        if self.submission is not None:
            return self.submission.account
        return '' if self.progress is None else self.progress.account

    @property
    def may_be_resubmitted(self) -> bool:
        """Return whether a retry of the client may overwrite an unreadable submission.

        It may not if progress is stored: a job that starts over would run tasks twice.
        """
        never_started = self.progress is None and not self.progress_unreadable
        return self.submission_unreadable and never_started and not self.cancelled

    @property
    def state(self) -> JobState:
        """Return the state that clients are shown."""
        progress = self.progress
        if progress is not None and progress.state in FINAL_STATES:
            return progress.state
        if self.cancelled:
            return JobState.CANCELLED
        if progress is None:
            # Progress is first stored when a task of the job is about to start.
            return JobState.RUNNING if self.progress_unreadable else JobState.QUEUED
        return progress.state


class CellState:
    """Jobs, members and the owner, built from records in log order.

    ``changed_jobs`` has the ids of jobs whose records changed since the last
    ``take_changed_jobs``.
    """

    def __init__(self, get_unix_time: Callable[[], float] = time.time) -> None:
        """Start with an empty state; ``get_unix_time`` returns the time by this host's clock."""
        self._get_unix_time = get_unix_time
        #: Kept when a snapshot is applied, which has only the newest of the owner's records.
        self.refused_jobs = RefusedJobs()
        #: Accepted jobs whose submission in the store was replaced by the late append of an attempt
        #: before their refusal, or deleted with it; the owner stores them again.
        self.overwritten_jobs: set[str] = set()
        #: The newest digest of the cell's load, and why it cannot be read.
        self.load_digest: LoadDigest | None = None
        self.digest_error: UnreadableError | None = None
        #: Whether any owner has stored a digest, so that jobs may have been refused.
        self.has_read_digest = False
        self.clear()

    def clear(self) -> None:
        """Drop everything, before a snapshot is applied."""
        self.submission_by_id: dict[str, Submission] = {}
        self.cancellation_by_id: dict[str, Cancellation] = {}
        self.progress_by_id: dict[str, Progress] = {}
        self.member_by_host: dict[str, Member] = {}
        self.owner: Owner | None = None
        #: Epoch of the owner right before the current one; ``None`` if records between them may
        #: not have been read.
        self.former_epoch: int | None = None
        self.runners_in_use: RunnersInUse | None = None
        self.runner_speeds: RunnerSpeeds | None = None
        self.changed_jobs: set[str] = set()
        #: Keys whose newest record cannot be read.
        self.unreadable_keys: set[str] = set()

    def take_changed_jobs(self) -> set[str]:
        """Return the jobs whose records changed since the last call."""
        taken = self.changed_jobs
        self.changed_jobs = set()
        return taken

    def find_job(self, job: str) -> StoredJob | None:
        """Return the records of a job, ``None`` for an unknown job."""
        submission = self.submission_by_id.get(job)
        progress = self.progress_by_id.get(job)
        if self.has_refused_submission(job):
            submission = None
        owned = submission or progress
        stored = StoredJob(
            job,
            submission,
            self.is_cancelled(job, '' if owned is None else owned.account),
            progress,
            submission is None and SUBMISSION_PREFIX + job in self.unreadable_keys,
            progress is None and PROGRESS_PREFIX + job in self.unreadable_keys,
        )
        if submission is not None or stored.unreadable:
            return stored
        return stored if progress is not None and progress.state in FINAL_STATES else None

    def is_cancelled(self, job: str, account: str) -> bool:
        """Return whether a cancellation is stored that applies to a job of ``account``."""
        cancellation = self.cancellation_by_id.get(job)
        return cancellation is not None and cancellation.applies_to(account)

    def unmatched_cancellations(self) -> list[str]:
        """Return the ids with a cancellation and without a submission."""
        return [
            job
            for job in self.cancellation_by_id
            if job not in self.submission_by_id
            and SUBMISSION_PREFIX + job not in self.unreadable_keys
        ]

    def is_accepted(self, job: str) -> bool:
        """Return whether a job is stored and its client's retry must not overwrite it."""
        stored_job = self.find_job(job)
        return stored_job is not None and not stored_job.may_be_resubmitted

    def has_refused_submission(self, job: str) -> bool:
        """Return whether a job is stored that was refused since, and not accepted again."""
        submission = self.submission_by_id.get(job)
        if submission is None or job in self.progress_by_id:
            return False
        return self.refused_jobs.was_refused_after(job, submission.accepted_at)

    def refused_submissions(self) -> list[str]:
        """Return the jobs that are stored although they were refused."""
        return [job for job in self.refused_jobs.ids() if self.has_refused_submission(job)]

    def job_accepted_at(self, job: str) -> float:
        """Return when a stored job was accepted, in Unix time."""
        return self.submission_by_id[job].accepted_at

    def jobs_ended_before(self, wall_time: float) -> list[str]:
        """Return the jobs that ended before a time in seconds since the epoch."""
        return [
            job
            for job, progress in self.progress_by_id.items()
            if progress.state in FINAL_STATES and progress.ended_at < wall_time
        ]

    def runners_possibly_in_use(self) -> set[str]:
        """Return the runners on which tasks started by the owner or its predecessors may run.

        If the list of runners in use cannot be read, they are taken from the jobs' progress: a
        runner is stored there before the job's first start on it.
        """
        if self.runners_in_use is not None:
            return set(self.runners_in_use.runners)
        if RUNNERS_IN_USE_KEY not in self.unreadable_keys:
            return set()
        runners = {UNKNOWN_RUNNER}
        for progress in self.progress_by_id.values():
            runners.update(progress.runners)
        return runners

    def unreached_runners(self, epoch: int) -> frozenset[str]:
        """Return the runners on which the owner with this epoch has granted no lease."""
        if self.runners_in_use is None or self.runners_in_use.epoch != epoch:
            return frozenset()
        return frozenset(self.runners_in_use.unreached)

    def current_owner_has_ended(self) -> bool:
        """Return whether the owner's process has been replaced by a later one on its host."""
        return self.owner is not None and self.process_has_ended(self.owner)

    def process_has_ended(self, owner: Owner) -> bool:
        """Return whether a later process has started on the host of that owner.

        A store that loses answers may execute an append seconds later, so the member record
        of an earlier process can land after the owner's. If that process were taken for a later
        one, the leases of a living owner would not be waited for, and its tasks would run twice.
        """
        member = self.member_by_host.get(owner.host)
        if member is None or member.incarnation in {'', owner.term}:
            return False
        return member.read_from > owner.read_from

    def may_add_steps(self, count: int) -> bool:
        """Return whether a job of ``count`` steps fits beside the unfinished jobs."""
        submissions = self.submission_by_id.values()
        if len(submissions) * MAX_STEPS + count <= MAX_UNFINISHED_STEPS:
            return True
        return sum(len(one.spec.steps) for one in submissions) + count <= MAX_UNFINISHED_STEPS

    def count_waiting_jobs(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        count = 0
        for job, submission in self.submission_by_id.items():
            if submission.queue != queue or self.is_cancelled(job, submission.account):
                continue
            progress = self.progress_by_id.get(job)
            if progress is None or progress.state is JobState.QUEUED:
                count += 1
        return count

    def load_snapshot(self, records: Iterable[KeyedRecord]) -> list[UnreadableError | None]:
        """Replace the state by a snapshot; keep the last known values of unreadable records.

        A snapshot has only the newest record of a key. Without the last known values, a job
        whose record became unreadable would be lost, and the silence of an owner would be
        measured from the snapshot on.
        """
        # Clearing makes new collections, so the copy keeps the previous ones.
        previous = copy.copy(self)
        self.clear()
        errors = self.apply(records)
        if OWNER_KEY in self.unreadable_keys:
            self.owner = previous.owner or self._make_unknown_owner()
        if RUNNERS_IN_USE_KEY in self.unreadable_keys:
            self.runners_in_use = previous.runners_in_use
        if RUNNER_SPEEDS_KEY in self.unreadable_keys:
            self.runner_speeds = previous.runner_speeds
        for key in self.unreadable_keys:
            name = key[len(SUBMISSION_PREFIX) :]
            current, before = self._select_values_by_name(key), previous._select_values_by_name(key)
            last_known = before.get(name)
            if last_known is not None:
                current[name] = last_known
        return errors

    def apply(self, records: Iterable[KeyedRecord]) -> list[UnreadableError | None]:
        """Apply records in log order; return for each the error if it cannot be read."""
        return [self._apply_record_or_mark_unreadable(record) for record in records]

    def _make_unknown_owner(self) -> Owner:
        """Return a stand-in for an unreadable owner, with the highest epoch of any record.

        The store would refuse every claim with a lower epoch than the owner had.
        """
        epochs = [progress.epoch for progress in self.progress_by_id.values()]
        if self.runners_in_use is not None:
            epochs.append(self.runners_in_use.epoch)
        return msgspec.structs.replace(UNKNOWN_OWNER, epoch=max(epochs, default=0))

    def _apply_record_or_mark_unreadable(self, record: KeyedRecord) -> UnreadableError | None:
        try:
            self._apply_record(record)
        except UnreadableError as error:
            self._mark_key_unreadable(record.key)
            return error
        self.unreadable_keys.discard(record.key)
        return None

    def _mark_key_unreadable(self, key: str) -> None:
        if not key:
            return
        self.unreadable_keys.add(key)
        if key == OWNER_KEY and self.owner is None:
            self.owner = UNKNOWN_OWNER
        prefix, name = key[: len(SUBMISSION_PREFIX)], key[len(SUBMISSION_PREFIX) :]
        if prefix in {SUBMISSION_PREFIX, PROGRESS_PREFIX}:
            self.changed_jobs.add(name)

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.error is not None:
            raise record.error
        content = record.content
        if record.key == OWNER_KEY:
            self._apply_owner(content)
            return
        if record.key == RUNNERS_IN_USE_KEY:
            if content is not None:
                self.runners_in_use = decode_json(_RUNNERS_IN_USE, content)
            return
        if record.key == RUNNER_SPEEDS_KEY:
            self._apply_runner_speeds(content)
            return
        prefix, name = record.key[: len(SUBMISSION_PREFIX)], record.key[len(SUBMISSION_PREFIX) :]
        if prefix == SUBMISSION_PREFIX:
            self._apply_submission(name, content)
        elif prefix == CANCELLATION_PREFIX:
            _apply_value(self.cancellation_by_id, name, content, _CANCELLATION)
            self.changed_jobs.add(name)
        elif prefix == PROGRESS_PREFIX:
            self._apply_progress(name, content)
        elif prefix == MEMBER_PREFIX:
            _apply_value(self.member_by_host, name, content, _MEMBER)

    def _apply_owner(self, content: bytes | None) -> None:
        if content is None:
            return
        owner = decode_json(_OWNER, content)
        if self.owner is None or owner.epoch >= self.owner.epoch:
            self._update_former_epoch(owner)
            self.owner = owner
            self._apply_digest(bytes(owner.load))

    def _update_former_epoch(self, owner: Owner) -> None:
        if self.owner is None or OWNER_KEY in self.unreadable_keys:
            self.former_epoch = None
        elif owner.epoch != self.owner.epoch:
            self.former_epoch = self.owner.epoch

    def _apply_digest(self, content: bytes) -> None:
        """Apply the digest of an owner's record; an unreadable one leaves no digest in force."""
        self.load_digest = None
        self.digest_error = None
        if not content:
            return
        try:
            self.load_digest = decode_digest(content)
        except UnreadableError as error:
            self.digest_error = error
            return
        self.has_read_digest = True
        self.refused_jobs.merge(self.load_digest.refused, self._get_unix_time())

    def _apply_runner_speeds(self, content: bytes | None) -> None:
        """Keep the speeds that the newest owner has stored."""
        speeds = None if content is None else decode_json(_RUNNER_SPEEDS, content)
        known = self.runner_speeds
        if speeds is None or known is None or speeds.epoch >= known.epoch:
            self.runner_speeds = speeds

    def _apply_submission(self, job: str, content: bytes | None) -> None:
        submission = None if content is None else _decode_submission(job, content)
        self.changed_jobs.add(job)
        if self._overwrites_accepted_job(job, submission):
            self.overwritten_jobs.add(job)
            return
        self.overwritten_jobs.discard(job)
        if submission is None:
            self.submission_by_id.pop(job, None)
            return
        self._drop_inconsistent_progress(job, submission)
        self.submission_by_id[job] = submission

    def _overwrites_accepted_job(self, job: str, submission: Submission | None) -> bool:
        """Return whether a record replaces or deletes a job that was accepted after its refusal.

        Only the end of a job deletes its submission otherwise, and is stored before.
        """
        known = self.submission_by_id.get(job)
        if known is None or not self.refused_jobs.contains(job):
            return False
        progress = self.progress_by_id.get(job)
        if progress is not None and progress.state in FINAL_STATES:
            return False
        if self.refused_jobs.was_refused_after(job, known.accepted_at):
            return False
        return submission is None or self.refused_jobs.was_refused_after(
            job, submission.accepted_at
        )

    def _drop_inconsistent_progress(self, job: str, submission: Submission) -> None:
        """Mark progress that was read before its submission as unreadable if it does not match."""
        progress = self.progress_by_id.get(job)
        if progress is None:
            return
        try:
            check_progress(progress, submission.spec)
        except UnreadableError:
            self.progress_by_id.pop(job)
            self.unreadable_keys.add(PROGRESS_PREFIX + job)

    def _apply_progress(self, job: str, content: bytes | None) -> None:
        if content is None:
            self.progress_by_id.pop(job, None)
        else:
            progress = decode_json(_PROGRESS, content)
            check_leftovers(progress)
            submission = self.submission_by_id.get(job)
            if submission is not None:
                check_progress(progress, submission.spec)
            self.progress_by_id[job] = progress
        self.changed_jobs.add(job)

    def _select_values_by_name(self, key: str) -> dict:
        """Return the dictionary that has the values of a key's prefix."""
        by_prefix: dict[str, dict] = {
            SUBMISSION_PREFIX: self.submission_by_id,
            CANCELLATION_PREFIX: self.cancellation_by_id,
            PROGRESS_PREFIX: self.progress_by_id,
            MEMBER_PREFIX: self.member_by_host,
        }
        return by_prefix.get(key[: len(SUBMISSION_PREFIX)], {})


def _decode_submission(job: str, content: bytes) -> Submission:
    if not job or '.' in job:
        # Runners join the parts of a task name by dots.
        raise UnreadableError(UnreadableReason.KEY, f'{job!r} is not a valid job id')
    submission = decode_json(_SUBMISSION, content)
    check_job_spec(submission.spec)
    return submission


def _apply_value(
    current: dict,
    name: str,
    content: bytes | None,
    decoder: msgspec.json.Decoder,
) -> None:
    if content is None:
        current.pop(name, None)
        return
    current[name] = decode_json(decoder, content)
