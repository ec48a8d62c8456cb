"""The cell's own records, one key a fact, and the book that every host folds them into.

A job stands under three keys, each with one kind of writer: its submission
(the host that accepted it), its cancellation (any host) and its progress (the
owner of the cell, fenced by its epoch). So no writer can overwrite what another
one has written, in whatever order appends land. Of a job that is over only the
progress stays: a host that starts reads all keys, and the submissions of a minute
took one with a 5 Mbit/s link 13 s.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from dandelionreel.cell._model import JobSpec, JobState
from dandelionreel.cell._services import KeyedRecord

OWNER_KEY = 'owner'
SUBMISSION = 'j/'
CANCELLATION = 'c/'
PROGRESS = 'e/'
MEMBER = 'm/'
ATTENDED_KEY = 'runners'


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job; ``accepted_at`` is wall-clock seconds at that host."""

    queue: str
    service: str
    accepted_at: float
    spec: JobSpec


class Cancellation(msgspec.Struct, frozen=True):
    """A client has cancelled the job."""

    at: float


class FailedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended ``failed``; kept by run so that one end counts once.

    The runs of a gang share their number and count once, as task 0.
    """

    occurrence: int
    step: int
    index: int
    run: int


class DoneTasks(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one step that are done: bit N of ``mask``, in hex, is task N."""

    occurrence: int
    step: int
    mask: str


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """How far a job is, as noted by the owner with that epoch.

    ``runners`` are all on which a task of the job may ever have been started:
    it is stored before the first start there, so a successor that cannot reach
    some runner knows which jobs to leave alone.
    """

    epoch: int
    state: JobState
    done: tuple[DoneTasks, ...] = ()
    failed: tuple[FailedRun, ...] = ()
    ended_at: float = 0
    runners: tuple[str, ...] = ()


class Owner(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who owns the cell: written at the claim and with every heartbeat.

    ``released`` says that the owner has stopped for good. ``unsettled`` is for
    how many seconds more an owner before this one may renew leases unseen.
    ``read_from`` is the offset at which this life of the host first read the topic.
    """

    epoch: int
    host: str
    term: str
    beat: int = 0
    released: bool = False
    unsettled: float = 0
    read_from: int = 0


class Attended(msgspec.Struct, frozen=True):
    """The runners on which an owner's tasks may run.

    It is stored before the first start on a runner, so a successor waits for
    the leases of no other runner.
    """

    epoch: int
    runners: tuple[str, ...]


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """Where a host's daemon listens for its peers; ``incarnation`` names its life.

    ``cores`` is its share of a processor, times the speed of one. ``read_from`` is the
    offset at which that life first read the topic, which orders the lives of a host.
    """

    zone: str
    address: str
    port: int
    incarnation: str = ''
    cores: float = 1.0
    read_from: int = 0


#: A job that is over shows one of these.
FINAL_STATES = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))

_SUBMISSION = msgspec.json.Decoder(Submission)
_CANCELLATION = msgspec.json.Decoder(Cancellation)
_PROGRESS = msgspec.json.Decoder(Progress)
_OWNER = msgspec.json.Decoder(Owner)
_ATTENDED = msgspec.json.Decoder(Attended)
_MEMBER = msgspec.json.Decoder(Member)


def make_record(key: str, fact: object) -> KeyedRecord:
    """Return the record that keeps ``fact`` under ``key``."""
    return KeyedRecord(key, msgspec.json.encode(fact))


def make_tombstone(key: str) -> KeyedRecord:
    """Return the record that drops ``key``."""
    return KeyedRecord(key, None)


def make_progress_records(job: str, progress: Progress) -> list[KeyedRecord]:
    """Return what keeps a job's progress; of a job that is over nothing else is kept."""
    records = [make_record(PROGRESS + job, progress)]
    if progress.state in FINAL_STATES:
        records.append(make_tombstone(SUBMISSION + job))
        if progress.state is JobState.CANCELLED:
            records.append(make_tombstone(CANCELLATION + job))
    return records


@dataclass(frozen=True)
class BookedJob:
    """All that stands in the store about one job; without a submission it is over."""

    id: str
    submission: Submission | None
    cancelled: bool
    progress: Progress | None

    @property
    def state(self) -> JobState:
        """Return what clients are told."""
        progress = self.progress
        if progress is not None and progress.state in FINAL_STATES:
            return progress.state
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.QUEUED if progress is None else progress.state


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
        self.attended: Attended | None = None
        self.changed: set[str] = set()
        #: Keys of records that could not be read, since they were last taken.
        self.unreadable: list[str] = []

    def take_changed(self) -> set[str]:
        """Return the jobs that were touched since the last call."""
        taken = self.changed
        self.changed = set()
        return taken

    def find(self, job: str) -> BookedJob | None:
        """Return what is known of a job, ``None`` when it is not known."""
        submission = self.submission_by_id.get(job)
        progress = self.progress_by_id.get(job)
        if submission is None and (progress is None or progress.state not in FINAL_STATES):
            return None
        return BookedJob(job, submission, job in self.cancellation_by_id, progress)

    def jobs_ended_before(self, wall: float) -> list[str]:
        """Return the jobs that ended before then, in seconds since the epoch."""
        return [
            job
            for job, progress in self.progress_by_id.items()
            if progress.state in FINAL_STATES and progress.ended_at < wall
        ]

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

    def fold(self, records: Iterable[KeyedRecord]) -> None:
        """Take records in log order."""
        for record in records:
            try:
                self._fold_one(record)
            except msgspec.DecodeError:
                # Written by another version: what is known of the key stays.
                self.unreadable.append(record.key)

    def _fold_one(self, record: KeyedRecord) -> None:
        if record.key == OWNER_KEY:
            self._fold_owner(record.content)
            return
        if record.key == ATTENDED_KEY:
            if record.content is not None:
                self.attended = _ATTENDED.decode(record.content)
            return
        prefix, name = record.key[:2], record.key[2:]
        if prefix == SUBMISSION:
            _keep(self.submission_by_id, name, record.content, _SUBMISSION)
            self.changed.add(name)
        elif prefix == CANCELLATION:
            _keep(self.cancellation_by_id, name, record.content, _CANCELLATION)
            self.changed.add(name)
        elif prefix == PROGRESS:
            _keep(self.progress_by_id, name, record.content, _PROGRESS)
            self.changed.add(name)
        elif prefix == MEMBER:
            _keep(self.member_by_host, name, record.content, _MEMBER)

    def _fold_owner(self, content: bytes | None) -> None:
        if content is None:
            return
        owner = _OWNER.decode(content)
        if self.owner is None or owner.epoch >= self.owner.epoch:
            self.owner = owner


def _keep(
    known: dict,
    name: str,
    content: bytes | None,
    decoder: msgspec.json.Decoder,
) -> None:
    if content is None:
        known.pop(name, None)
        return
    known[name] = decoder.decode(content)
