"""The book that every host folds the cell's own records into, in log order.

A record that cannot be read changes nothing that is known. Of a key that was not known
before it, only what guards somebody follows: a job is there and is not started, an
owner may be at work, its tasks may run anywhere.
"""

import copy
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from dandelionreel.cell.model import (
    CANCELLATION_PREFIX,
    FINAL_STATES,
    MEMBER_PREFIX,
    OWNER_KEY,
    PREDECESSOR_LEASE_SECONDS,
    PROGRESS_PREFIX,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    Cancellation,
    JobState,
    KeyedRecord,
    Member,
    Owner,
    Progress,
    Reason,
    RunnersInUse,
    Submission,
    UnreadableError,
    check_leftovers,
    check_progress,
    check_spec,
    decode_json,
)

_SUBMISSION = msgspec.json.Decoder(Submission)
_CANCELLATION = msgspec.json.Decoder(Cancellation)
_PROGRESS = msgspec.json.Decoder(Progress)
_OWNER = msgspec.json.Decoder(Owner)
_ATTENDED = msgspec.json.Decoder(RunnersInUse)
_MEMBER = msgspec.json.Decoder(Member)

#: Stands for an owner of which nothing can be read: it may be at work, and have
#: followed another one. Its heartbeats are waited for like those of any owner.
UNKNOWN_OWNER = Owner(0, '', '', unsettled=PREDECESSOR_LEASE_SECONDS)
#: Stands for runners whose names cannot be read. No runner has this name, so what may
#: run on them is left alone until all leases must be over.
UNKNOWN_RUNNER = '?'


@dataclass(frozen=True)
class BookedJob:
    """All that stands in the store about one job; without a submission it is over.

    Of an unreadable record it is only known that it is there. Such a job is shown,
    and not started: which of its tasks are done is not known.
    """

    id: str
    submission: Submission | None
    cancelled: bool
    progress: Progress | None
    submission_unreadable: bool = False
    progress_unreadable: bool = False

    @property
    def unreadable(self) -> bool:
        """Return whether the job is not over and something needed to run it is not known."""
        if self.progress is not None and self.progress.state in FINAL_STATES:
            return False
        return self.submission_unreadable or self.progress_unreadable

    @property
    def account(self) -> str:
        """Return the client account whose job it is, empty where none is known."""
        if self.submission is not None:
            return self.submission.account
        return '' if self.progress is None else self.progress.account

    @property
    def may_be_stored_again(self) -> bool:
        """Return whether its client's retry may store the job anew, so that it can be read.

        Not where progress is stored: a job that began anew would run tasks twice.
        """
        untouched = self.progress is None and not self.progress_unreadable
        return self.submission_unreadable and untouched and not self.cancelled

    @property
    def state(self) -> JobState:
        """Return what clients are told."""
        progress = self.progress
        if progress is not None and progress.state in FINAL_STATES:
            return progress.state
        if self.cancelled:
            return JobState.CANCELLED
        if progress is None:
            # Progress is first stored when a task of the job is about to start.
            return JobState.RUNNING if self.progress_unreadable else JobState.QUEUED
        return progress.state


class JobBook:
    """Jobs, members and the owner, folded from records in log order.

    ``changed`` collects the jobs that were touched since it was last taken.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self.clear()

    def clear(self) -> None:
        """Forget everything, before a snapshot is folded."""
        self.submission_by_id: dict[str, Submission] = {}
        self.cancellation_by_id: dict[str, Cancellation] = {}
        self.progress_by_id: dict[str, Progress] = {}
        self.member_by_host: dict[str, Member] = {}
        self.owner: Owner | None = None
        self.attended: RunnersInUse | None = None
        self.changed: set[str] = set()
        #: Keys whose newest record cannot be read.
        self.unreadable_keys: set[str] = set()

    def take_changed(self) -> set[str]:
        """Return the jobs that were touched since the last call."""
        taken = self.changed
        self.changed = set()
        return taken

    def find(self, job: str) -> BookedJob | None:
        """Return what is known of a job, ``None`` when it is not known."""
        submission = self.submission_by_id.get(job)
        progress = self.progress_by_id.get(job)
        booked = BookedJob(
            job,
            submission,
            job in self.cancellation_by_id,
            progress,
            submission is None and SUBMISSION_PREFIX + job in self.unreadable_keys,
            progress is None and PROGRESS_PREFIX + job in self.unreadable_keys,
        )
        if submission is not None or booked.unreadable:
            return booked
        return booked if progress is not None and progress.state in FINAL_STATES else None

    def accepted_at(self, job: str) -> float:
        """Return when a job that stands in the store was accepted, in wall-clock seconds."""
        return self.submission_by_id[job].accepted_at

    def jobs_ended_before(self, wall: float) -> list[str]:
        """Return the jobs that ended before then, in seconds since the epoch."""
        return [
            job
            for job, progress in self.progress_by_id.items()
            if progress.state in FINAL_STATES and progress.ended_at < wall
        ]

    def former_runners(self) -> set[str]:
        """Return the runners on which tasks of the owner, or of earlier ones, may run.

        Where their list cannot be read, the jobs name them: a runner is stored with a
        job before the job's first start there.
        """
        if self.attended is not None:
            return set(self.attended.runners)
        if RUNNERS_IN_USE_KEY not in self.unreadable_keys:
            return set()
        runners = {UNKNOWN_RUNNER}
        for progress in self.progress_by_id.values():
            runners.update(progress.runners)
        return runners

    def owner_has_ended(self) -> bool:
        """Return whether another life has begun on the owner's host."""
        return self.owner is not None and self.has_ended(self.owner)

    def has_ended(self, owner: Owner) -> bool:
        """Return whether a later life has begun on the host of that owner.

        A store that loses answers may carry an append out seconds later, so the word
        of an earlier life can land after the owner's. Taken for a later one, it would
        end the wait for a living owner's leases, and its tasks would run twice.
        """
        member = self.member_by_host.get(owner.host)
        if member is None or member.incarnation in {'', owner.term}:
            return False
        return member.read_from > owner.read_from

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue are accepted and have not begun."""
        count = 0
        for job, submission in self.submission_by_id.items():
            if submission.queue != queue or job in self.cancellation_by_id:
                continue
            progress = self.progress_by_id.get(job)
            if progress is None or progress.state is JobState.QUEUED:
                count += 1
        return count

    def restart(self, records: Iterable[KeyedRecord]) -> list[UnreadableError | None]:
        """Forget everything but what unreadable records of a snapshot hide; take the rest.

        A snapshot has only the newest record of a key. A job whose record became
        unreadable would be forgotten, and an owner's silence begin anew.
        """
        # Clearing makes new collections, so the copy keeps the former ones.
        former = copy.copy(self)
        self.clear()
        errors = self.fold(records)
        if OWNER_KEY in self.unreadable_keys:
            self.owner = former.owner or self._unknown_owner()
        if RUNNERS_IN_USE_KEY in self.unreadable_keys:
            self.attended = former.attended
        for key in self.unreadable_keys:
            name = key[len(SUBMISSION_PREFIX) :]
            known, earlier = self._facts_of(key), former._facts_of(key)
            fact = earlier.get(name)
            if fact is not None:
                known[name] = fact
        return errors

    def fold(self, records: Iterable[KeyedRecord]) -> list[UnreadableError | None]:
        """Take records in log order; return for each one why it cannot be read."""
        return [self._fold_or_refuse(record) for record in records]

    def _unknown_owner(self) -> Owner:
        """Return what is known of an owner from what it has stored.

        A claim of a lower epoch than it had would be refused, one after the other.
        """
        epochs = [progress.epoch for progress in self.progress_by_id.values()]
        if self.attended is not None:
            epochs.append(self.attended.epoch)
        return msgspec.structs.replace(UNKNOWN_OWNER, epoch=max(epochs, default=0))

    def _fold_or_refuse(self, record: KeyedRecord) -> UnreadableError | None:
        try:
            self._fold_one(record)
        except UnreadableError as error:
            self._refuse(record.key)
            return error
        self.unreadable_keys.discard(record.key)
        return None

    def _refuse(self, key: str) -> None:
        if not key:
            return
        self.unreadable_keys.add(key)
        if key == OWNER_KEY and self.owner is None:
            self.owner = UNKNOWN_OWNER
        prefix, name = key[: len(SUBMISSION_PREFIX)], key[len(SUBMISSION_PREFIX) :]
        if prefix in {SUBMISSION_PREFIX, PROGRESS_PREFIX}:
            self.changed.add(name)

    def _fold_one(self, record: KeyedRecord) -> None:
        if record.error is not None:
            raise record.error
        content = record.content
        if record.key == OWNER_KEY:
            self._fold_owner(content)
            return
        if record.key == RUNNERS_IN_USE_KEY:
            if content is not None:
                self.attended = decode_json(_ATTENDED, content)
            return
        prefix, name = record.key[: len(SUBMISSION_PREFIX)], record.key[len(SUBMISSION_PREFIX) :]
        if prefix == SUBMISSION_PREFIX:
            self._fold_submission(name, content)
        elif prefix == CANCELLATION_PREFIX:
            _keep(self.cancellation_by_id, name, content, _CANCELLATION)
            self.changed.add(name)
        elif prefix == PROGRESS_PREFIX:
            self._fold_progress(name, content)
        elif prefix == MEMBER_PREFIX:
            _keep(self.member_by_host, name, content, _MEMBER)

    def _fold_owner(self, content: bytes | None) -> None:
        if content is None:
            return
        owner = decode_json(_OWNER, content)
        if self.owner is None or owner.epoch >= self.owner.epoch:
            self.owner = owner

    def _fold_submission(self, job: str, content: bytes | None) -> None:
        if content is None:
            self.submission_by_id.pop(job, None)
        else:
            submission = _decode_submission(job, content)
            self._drop_misfit(job, submission)
            self.submission_by_id[job] = submission
        self.changed.add(job)

    def _drop_misfit(self, job: str, submission: Submission) -> None:
        """Take progress that was read before its job for unreadable if it does not fit."""
        progress = self.progress_by_id.get(job)
        if progress is None:
            return
        try:
            check_progress(progress, submission.spec)
        except UnreadableError:
            self.progress_by_id.pop(job)
            self.unreadable_keys.add(PROGRESS_PREFIX + job)

    def _fold_progress(self, job: str, content: bytes | None) -> None:
        if content is None:
            self.progress_by_id.pop(job, None)
        else:
            progress = decode_json(_PROGRESS, content)
            check_leftovers(progress)
            submission = self.submission_by_id.get(job)
            if submission is not None:
                check_progress(progress, submission.spec)
            self.progress_by_id[job] = progress
        self.changed.add(job)

    def _facts_of(self, key: str) -> dict:
        """Return the collection that a key's fact is kept in."""
        by_prefix: dict[str, dict] = {
            SUBMISSION_PREFIX: self.submission_by_id,
            CANCELLATION_PREFIX: self.cancellation_by_id,
            PROGRESS_PREFIX: self.progress_by_id,
            MEMBER_PREFIX: self.member_by_host,
        }
        return by_prefix.get(key[: len(SUBMISSION_PREFIX)], {})


def _decode_submission(job: str, content: bytes) -> Submission:
    if not job or '.' in job:
        # Runners name tasks with dots between the parts.
        raise UnreadableError(Reason.KEY, f'{job!r} is no job id')
    submission = decode_json(_SUBMISSION, content)
    check_spec(submission.spec)
    return submission


def _keep(
    known: dict,
    name: str,
    content: bytes | None,
    decoder: msgspec.json.Decoder,
) -> None:
    if content is None:
        known.pop(name, None)
        return
    known[name] = decode_json(decoder, content)
