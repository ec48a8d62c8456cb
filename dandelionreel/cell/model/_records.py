"""The cell's own records in the store, one key for each fact; every host replays them.

A job has three keys, each with one kind of writer: its submission (the host that accepted it),
its cancellation (any host) and its progress (the owner of the cell, fenced by its epoch). So no
writer overwrites another, in whatever order appends arrive. Of a finished job only the progress
is kept, since a starting host reads all keys.
"""

from typing import Annotated

import msgspec

from dandelionreel.cell.model._model import Demand, JobSpec, JobState
from dandelionreel.cell.model._services import KeyedRecord

OWNER_KEY = 'owner'
SUBMISSION_PREFIX = 'j/'
CANCELLATION_PREFIX = 'c/'
PROGRESS_PREFIX = 'e/'
MEMBER_PREFIX = 'm/'
RUNNERS_IN_USE_KEY = 'runners'
RUNNER_SPEEDS_KEY = 'speeds'

#: Seconds after an owner's last answered append by which all leases that it has granted have
#: expired, by the slowest clock of a runner.
LEASES_END_SECONDS = 11.3
#: The same for an owner whose record does not say it, or cannot be read.
UNKNOWN_LEASES_END_SECONDS = 17.8
#: Largest valid ``Owner.unsettled``. No owner writes more; an absurd value would keep its successor
#: from ever starting tasks.
MAX_UNSETTLED_SECONDS = 60
#: Integers below this value are exact in JSON. A larger epoch would outrank every owner.
MAX_EXACT_INTEGER = 9_007_199_254_740_992
MAX_PORT = 65_535
#: More than any host has, in cores.
MAX_CORES = 100_000

Count = Annotated[int, msgspec.Meta(ge=0, lt=MAX_EXACT_INTEGER)]
Mask = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{1,4000}$')]
Text = Annotated[str, msgspec.Meta(min_length=1)]
_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
#: Connecting to a name would look it up, which blocks the process.
Address = Annotated[str, msgspec.Meta(pattern=rf'^({_OCTET}\.){{3}}{_OCTET}\Z')]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Cores = Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)]
Odds = Annotated[float, msgspec.Meta(ge=0, le=1)]
UnsettledSeconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNSETTLED_SECONDS)]


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """How the jobs of a queue are scheduled; times are in seconds, ``advice`` as in its policy."""

    priority: int
    max_attempts: int
    slack: float
    latency: float
    advice: tuple[float, float, float] | None = None


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job; ``accepted_at`` is a Unix time by the clock of the accepting host.

    ``zone`` is the availability zone of that host, ``account`` the client account that owns the
    job, empty for none. ``terms`` are those of its queue at that time, absent for jobs that an
    earlier build has accepted.
    """

    queue: str
    service: str
    accepted_at: float
    spec: JobSpec
    zone: str = ''
    account: str = ''
    terms: QueueTerms | None = None


class Cancellation(msgspec.Struct, frozen=True, omit_defaults=True):
    """A client has cancelled the job at a Unix time.

    ``account`` is the client's, set only if its submission was not stored yet: the record then
    applies to a submission that arrives later, but not to that of another account.
    """

    at: float
    account: str | None = None

    def applies_to(self, account: str) -> bool:
        """Return whether it cancels a job that belongs to ``account``, empty for none."""
        return self.account is None or account in {'', self.account}


class FailedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that has failed; keyed by run so that each end counts once.

    The runs of a gang share their run number and count once, as task 0.
    """

    occurrence: Count
    step: Count
    index: Count
    run: Count


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run during which its runner crashed; keyed by run so that each loss counts once.

    ``during_start`` says that the connection broke while the start was unanswered.
    """

    occurrence: Count
    step: Count
    index: Count
    run: Count
    during_start: bool = False


class WeighedCrash(msgspec.Struct, frozen=True, array_like=True):
    """The odds of a crashed run: the probability that a run that crashes no runner meets it."""

    occurrence: Count
    step: Count
    index: Count
    run: Count
    odds: Odds


class ProvenCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crashed run whose start is proven to have crashed its runner."""

    occurrence: Count
    step: Count
    index: Count
    run: Count


class StoredStart(msgspec.Struct, frozen=True, array_like=True):
    """A start of a task that has, or may have, crashed runners; stored before it is sent."""

    occurrence: Count
    step: Count
    index: Count
    run: Count
    runner: Text


class DoneTasks(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one step that are done; bit N of the hexadecimal ``mask`` is task N."""

    occurrence: Count
    step: Count
    mask: Mask


class Leftover(msgspec.Struct, frozen=True, array_like=True):
    """Resources that runs of a finished job may still use on a runner until they are gone."""

    runner: Text
    demand: Demand


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of a job, written by the owner with this epoch.

    ``runners`` are all runners on which a task of the job may have been started. They are stored
    before the first start there, so a successor that cannot reach some runner knows which jobs it
    must not start again. ``doubtful`` is ``JobCrashes.incomplete``. ``account`` is stored because
    no other record of a finished job has it, and the ``leftovers`` count against its quota.
    ``proven`` and ``weighed`` name rows of ``crashed``; earlier builds neither write nor read them.
    All tasks of the
    occurrences before ``done_before`` are done, and have no row in ``done``.
    """

    epoch: Count
    state: JobState
    done: tuple[DoneTasks, ...] = ()
    failed: tuple[FailedRun, ...] = ()
    ended_at: float = 0
    runners: tuple[str, ...] = ()
    crashed: tuple[CrashedRun, ...] = ()
    starts: tuple[StoredStart, ...] = ()
    doubtful: bool = False
    account: str = ''
    leftovers: tuple[Leftover, ...] = ()
    proven: tuple[ProvenCrash, ...] = ()
    done_before: Count = 0
    weighed: tuple[WeighedCrash, ...] = ()


class Owner(msgspec.Struct, frozen=True, omit_defaults=True):
    """The owner of the cell, written when it claims ownership and with every heartbeat.

    ``beat`` counts heartbeats. ``released`` says that the owner has stopped for good.
    ``unsettled`` is the number of seconds for which earlier owners may still renew leases without
    being noticed. ``read_from`` is the offset at which this incarnation of the host first read the
    topic, ``version`` that of the configuration in use. ``load`` is a ``LoadDigest``, absent where
    the owner does not control overload. It stays encoded here, so that a digest of another version
    does not make the whole record unreadable. ``leases_end`` is the number of seconds after the
    owner's last answered append by which all leases that it has granted have expired.
    """

    epoch: Count
    host: Text
    term: Text
    beat: int = 0
    released: bool = False
    unsettled: UnsettledSeconds = 0
    read_from: Count = 0
    version: Count = 0
    load: msgspec.Raw = msgspec.Raw()
    leases_end: UnsettledSeconds = UNKNOWN_LEASES_END_SECONDS


class RunnersInUse(msgspec.Struct, frozen=True, omit_defaults=True):
    """The runners on which an owner's tasks may run.

    Stored before the first start on a runner, so that a successor waits only for leases of these
    runners. On the ``unreached`` ones this owner has granted no lease, and grants none before a
    later record leaves them out.
    """

    epoch: Count
    runners: tuple[str, ...]
    unreached: tuple[str, ...] = ()


class RunnerSpeed(msgspec.Struct, frozen=True, array_like=True):
    """The relative speed of a runner incarnation, in hundredths of the usual speed."""

    runner: Text
    hundredths: int


class RunnerSpeeds(msgspec.Struct, frozen=True):
    """The speeds of runners that an owner has learned, for its successor."""

    epoch: Count
    rows: tuple[RunnerSpeed, ...]


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """Where a host's daemon listens for its peers; ``incarnation`` identifies its process.

    ``cores`` is its processor share times the relative speed of a core. ``read_from`` is the
    offset at which that process first read the topic, which orders the incarnations of a host.
    """

    zone: str
    address: Address
    port: Port
    incarnation: str = ''
    cores: Cores = 1.0
    read_from: Count = 0


#: States of finished jobs.
FINAL_STATES = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


def make_record(key: str, fact: object) -> KeyedRecord:
    """Return the record that stores ``fact`` under ``key``."""
    return KeyedRecord(key, msgspec.json.encode(fact))


def make_tombstone(key: str) -> KeyedRecord:
    """Return the record that deletes ``key``."""
    return KeyedRecord(key, None)


def make_progress_records(job: str, progress: Progress) -> list[KeyedRecord]:
    """Return the records that store a job's progress; for a finished job, also delete the rest."""
    records = [make_record(PROGRESS_PREFIX + job, progress)]
    if progress.state in FINAL_STATES:
        records.append(make_tombstone(SUBMISSION_PREFIX + job))
        if progress.state is JobState.CANCELLED:
            records.append(make_tombstone(CANCELLATION_PREFIX + job))
    return records
