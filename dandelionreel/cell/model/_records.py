"""The cell's own records, one key a fact; every host folds them into its book.

A job stands under three keys, each with one kind of writer: its submission (the host that accepted
it), its cancellation (any host) and its progress (the owner of the cell, fenced by its epoch). So
no writer overwrites another, in whatever order appends land. Of a job that is over only the
progress stays, as a host that starts reads all keys.
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

#: Seconds for which leases of the latest owner may last that only it renews. Taken as well where
#: the record of the owner cannot be read.
PREDECESSOR_LEASE_SECONDS = 17.8
#: No owner writes more; a wild figure would keep its successor from ever starting tasks.
MAX_UNSETTLED_SECONDS = 60
#: Whole numbers are exact in JSON up to here. An epoch beyond would outbid every owner.
MAX_EXACT_INTEGER = 9_007_199_254_740_992
MAX_PORT = 65_535
#: More than any host has, in cores.
MAX_CORES = 100_000

Count = Annotated[int, msgspec.Meta(ge=0, lt=MAX_EXACT_INTEGER)]
Mask = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{1,4000}$')]
Text = Annotated[str, msgspec.Meta(min_length=1)]
HostName = Annotated[str, msgspec.Meta(pattern='^[0-9A-Za-z._-]{1,253}$')]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Cores = Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)]
Unsettled = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNSETTLED_SECONDS)]


class Submission(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job; ``accepted_at`` is wall-clock seconds at that host.

    ``zone`` is the availability zone of the host that its client handed it to, ``account``
    the client account whose job it is, empty for none.
    """

    queue: str
    service: str
    accepted_at: float
    spec: JobSpec
    zone: str = ''
    account: str = ''


class Cancellation(msgspec.Struct, frozen=True):
    """A client has cancelled the job."""

    at: float


class FailedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended ``failed``; kept by run so that one end counts once.

    The runs of a gang share their number and count once, as task 0.
    """

    occurrence: Count
    step: Count
    index: Count
    run: Count


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run under which its runner has crashed; kept by run so that one loss counts once.

    ``during_start`` says that the connection broke while the answer to its start was out.
    """

    occurrence: Count
    step: Count
    index: Count
    run: Count
    during_start: bool = False


class StoredStart(msgspec.Struct, frozen=True, array_like=True):
    """A start of a task under which runners have crashed, or may have; stored before it is sent."""

    occurrence: Count
    step: Count
    index: Count
    run: Count
    runner: Text


class DoneTasks(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one step that are done: bit N of ``mask``, in hex, is task N."""

    occurrence: Count
    step: Count
    mask: Mask


class Leftover(msgspec.Struct, frozen=True, array_like=True):
    """What runs of a job that is over may still take on a runner until they are gone."""

    runner: Text
    demand: Demand


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """How far a job is, as noted by the owner with that epoch.

    ``runners`` are all on which a task of the job may ever have been started:
    it is stored before the first start there, so a successor that cannot reach
    some runner knows which jobs to leave alone. ``doubtful`` as ``JobCrashes`` says.
    ``account`` is kept as nothing else of a job that is over says whose it was, with the
    ``leftovers`` of its runs.
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


class Owner(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who owns the cell: written at the claim and with every heartbeat.

    ``released`` says that the owner has stopped for good. ``unsettled`` is for
    how many seconds more an owner before this one may renew leases unseen.
    ``read_from`` is the offset at which this life of the host first read the topic,
    ``version`` that of the configuration by which it decides.
    """

    epoch: Count
    host: Text
    term: Text
    beat: int = 0
    released: bool = False
    unsettled: Unsettled = 0
    read_from: Count = 0
    version: Count = 0


class RunnersInUse(msgspec.Struct, frozen=True):
    """The runners on which an owner's tasks may run.

    It is stored before the first start on a runner, so a successor waits for
    the leases of no other runner.
    """

    epoch: Count
    runners: tuple[str, ...]


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """Where a host's daemon listens for its peers; ``incarnation`` names its life.

    ``cores`` is its share of a processor, times the speed of one. ``read_from`` is the
    offset at which that life first read the topic, which orders the lives of a host.
    """

    zone: str
    address: HostName
    port: Port
    incarnation: str = ''
    cores: Cores = 1.0
    read_from: Count = 0


#: A job that is over shows one of these.
FINAL_STATES = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


def make_record(key: str, fact: object) -> KeyedRecord:
    """Return the record that keeps ``fact`` under ``key``."""
    return KeyedRecord(key, msgspec.json.encode(fact))


def make_tombstone(key: str) -> KeyedRecord:
    """Return the record that drops ``key``."""
    return KeyedRecord(key, None)


def make_progress_records(job: str, progress: Progress) -> list[KeyedRecord]:
    """Return what keeps a job's progress; of a job that is over nothing else is kept."""
    records = [make_record(PROGRESS_PREFIX + job, progress)]
    if progress.state in FINAL_STATES:
        records.append(make_tombstone(SUBMISSION_PREFIX + job))
        if progress.state is JobState.CANCELLED:
            records.append(make_tombstone(CANCELLATION_PREFIX + job))
    return records
