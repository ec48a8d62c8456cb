"""Job records as they are stored in a zone's log stream."""

from msgspec import Struct

from dandelionreel.jobs._spec import JobSpec


class JobAccepted(Struct, frozen=True, tag='job_accepted'):
    """A job was accepted; ``key`` is its idempotency key, ``digest`` the hash of its spec."""

    job: str
    key: str
    digest: str
    spec: JobSpec


class AttemptIntent(Struct, frozen=True, tag='attempt_intent'):
    """A dispatcher is about to start an attempt, with one worker for each task."""

    job: str
    attempt: int
    epoch: int
    member: str
    workers: tuple[str, ...]


class AttemptEnded(Struct, frozen=True, tag='attempt_ended'):
    """An attempt ended; ``outcome`` is a value of ``Outcome``."""

    job: str
    attempt: int
    epoch: int
    outcome: str
    detail: str = ''


class JobsCancelled(Struct, frozen=True, tag='jobs_cancelled'):
    """Jobs were cancelled: waiting ones don't start, running ones are stopped."""

    jobs: tuple[str, ...]


class JobResolved(Struct, frozen=True, tag='job_resolved'):
    """An operator resolved an uncertain or parked job; ``outcome`` is ``ran`` or ``not_run``."""

    job: str
    outcome: str


class JobMoved(Struct, frozen=True, tag='job_moved'):
    """A waiting job, without an intent, belongs to another zone from this record on."""

    job: str
    zone: str


class JobArrived(Struct, frozen=True, tag='job_arrived'):
    """The other zone has accepted a moved job; this zone has nothing left to do for it."""

    job: str


class AttemptSnapshot(Struct, frozen=True):
    """An attempt within a ``JobSnapshot``; ``wall`` is the time of its intent, in Unix time."""

    number: int
    epoch: int
    member: str
    workers: tuple[str, ...]
    outcome: str
    wall: float


class JobSnapshot(Struct, frozen=True, tag='job_kept'):
    """The full state of an unfinished job, written before its older records expire."""

    job: str
    key: str
    digest: str
    spec: JobSpec
    state: str
    accepted_at: float
    failures: int
    attempts: tuple[AttemptSnapshot, ...]
    moved_to: str = ''


JobRecord = (
    JobAccepted
    | AttemptIntent
    | AttemptEnded
    | JobsCancelled
    | JobResolved
    | JobMoved
    | JobArrived
    | JobSnapshot
)
