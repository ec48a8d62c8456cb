"""Records of jobs, as they stand in a zone's stream."""

from msgspec import Struct

from dandelionreel.jobs._spec import JobSpec


class JobAccepted(Struct, frozen=True, tag='job_accepted'):
    """A job is taken; ``key`` is the caller's idempotency key, ``digest`` its body's."""

    job: str
    key: str
    digest: str
    spec: JobSpec


class AttemptIntent(Struct, frozen=True, tag='attempt_intent'):
    """A dispatcher is about to start an attempt: one worker for each task."""

    job: str
    attempt: int
    epoch: int
    member: str
    workers: tuple[str, ...]


class AttemptEnded(Struct, frozen=True, tag='attempt_ended'):
    """What became of an attempt; see ``Outcome``."""

    job: str
    attempt: int
    epoch: int
    outcome: str
    detail: str = ''


class JobsCancelled(Struct, frozen=True, tag='jobs_cancelled'):
    """Jobs that shall not run, or stop."""

    jobs: tuple[str, ...]


class JobResolved(Struct, frozen=True, tag='job_resolved'):
    """An operator settles an uncertain or parked job: ``ran`` or ``not_run``."""

    job: str
    outcome: str


class JobMoved(Struct, frozen=True, tag='job_moved'):
    """A job that has no intent yet belongs to another zone from here on."""

    job: str
    zone: str


class JobArrived(Struct, frozen=True, tag='job_arrived'):
    """The other zone has taken the moved job; nothing is left to do here."""

    job: str


class AttemptSnapshot(Struct, frozen=True):
    """An attempt as restated."""

    number: int
    epoch: int
    member: str
    workers: tuple[str, ...]
    outcome: str
    wall: float


class JobSnapshot(Struct, frozen=True, tag='job_kept'):
    """A live job with all that is known of it, written again before it expires."""

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
