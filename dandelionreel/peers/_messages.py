"""Typed messages between daemons; ``_codec`` encodes them."""

from dataclasses import dataclass, field

import xxhash

from dandelionreel.accounts import Caller
from dandelionreel.backing import NO_RESOURCES, Resources
from dandelionreel.http import Request, Response
from dandelionreel.peers._cell_messages import (
    AdviceGiven,
    AdviceWanted,
    ConfigurationDocument,
    ConfigurationDocumentWanted,
    ConfigurationGiven,
    ConfigurationWanted,
    OwnerAsked,
    OwnerFailing,
)


def hash_member(member: str) -> int:
    """Return the hash by which gossip identifies a member."""
    return xxhash.xxh3_64_intdigest(member.encode())


@dataclass(frozen=True)
class ServiceSlots:
    """Free slots for one service on the runners that a daemon owns."""

    service: str
    free_slots: int


@dataclass(frozen=True)
class Gossip:
    """State of the sender, part of every heartbeat and its answer.

    ``view`` has the members of the zone that the sender knows, ``heard`` those that it
    heard from recently; both as hashes (``hash_member``), since the full member ids would
    make up most of a heartbeat. ``leaving`` has the hosts of leaving endpoints, ``contracts``
    a digest of the contract versions in force.
    """

    view: tuple[int, ...] = ()
    heard: tuple[int, ...] = ()
    service_slots: tuple[ServiceSlots, ...] = ()
    leaving: tuple[str, ...] = ()
    contracts: int = 0
    draining: bool = False


@dataclass(frozen=True)
class Heartbeat:
    """Asks a member to promise that it makes no claim on the sender's shards."""

    availability_zone: str
    gossip: Gossip


@dataclass(frozen=True)
class HeartbeatAnswer:
    """Gives the promise, or withholds it while the peer itself makes a claim."""

    promise: bool
    gossip: Gossip


@dataclass(frozen=True)
class Forward:
    """A client's request, forwarded to a daemon that may have capacity for it.

    ``remaining`` is the time to its deadline in seconds, ``hops`` the number of times it
    was forwarded. ``caller`` is the client account as identified by the sender, ``None``
    if the sender did not check it. ``attempted_at`` is the Unix time by the sender's clock,
    0 from senders of earlier versions. Others pass a refusal for overload on to the client.
    """

    request: Request
    remaining: float
    hops: int
    caller: Caller | None = None
    attempted_at: float = 0.0


@dataclass(frozen=True)
class ForwardAnswer:
    """The response to a forwarded request.

    ``no_room`` says that the daemon had no capacity and did not run the request.
    """

    response: Response
    no_room: bool = False


@dataclass(frozen=True)
class PlaceOrder:
    """Request of a dispatcher to the owner of a worker: start one task."""

    dispatch_epoch: int
    worker: str
    task_id: str
    demand: Resources
    command: str
    customer: str
    job: str
    attempt: int
    task_class: str


@dataclass(frozen=True)
class PlaceAnswer:
    """Outcome of a start: started, refused, or unknown if the task may have been started."""

    outcome: str
    cause: str = ''


@dataclass(frozen=True)
class TaskAction:
    """Request of a dispatcher to the owner of a worker: stop, checkpoint or throttle a task."""

    dispatch_epoch: int
    worker: str
    task_id: str
    action: str


@dataclass(frozen=True)
class TaskReport:
    """Status of one task, as known to the owner of its worker."""

    id: str
    job: str
    attempt: int
    customer: str
    task_class: str
    running: bool
    outcome: str
    demand: Resources
    used: Resources = NO_RESOURCES


@dataclass(frozen=True)
class WorkerReport:
    """All tasks of one worker.

    ``usable_capacity`` is what the owner may assign at present. Nobody can have renewed
    the worker's leases for ``unrenewed_seconds``. The worker's history is complete for
    the last ``history_seconds``: it lists every task that it was ordered to start in that
    time. ``as_of`` is the receiver's clock as last seen by the sender when it made this
    report: later events are not in it. The sender refuses orders of dispatchers with an
    epoch below ``dispatch_epoch``.
    """

    worker: str
    epoch: int
    reachable: bool
    usable_capacity: Resources
    tasks: tuple[TaskReport, ...]
    unrenewed_seconds: float = 0
    history_seconds: float = 0
    as_of: float = 0
    dispatch_epoch: int = 0


@dataclass(frozen=True)
class ContractState:
    """The contracts in force at the sender, as JSON documents."""

    offset: int
    documents: tuple[bytes, ...]


@dataclass(frozen=True)
class ContractsWanted:
    """Asks a peer for its contracts in force."""


@dataclass(frozen=True)
class Done:
    """The message was accepted."""


@dataclass(frozen=True)
class Unsupported:
    """A message that only other builds handle; ``kind`` is its name in the schema."""

    kind: str


@dataclass(frozen=True)
class Refused:
    """The message was rejected, with the cause."""

    cause: str


Message = (
    Heartbeat
    | HeartbeatAnswer
    | Forward
    | ForwardAnswer
    | PlaceOrder
    | PlaceAnswer
    | TaskAction
    | WorkerReport
    | ContractState
    | ContractsWanted
    | AdviceWanted
    | AdviceGiven
    | OwnerFailing
    | OwnerAsked
    | ConfigurationWanted
    | ConfigurationGiven
    | ConfigurationDocumentWanted
    | ConfigurationDocument
    | Done
    | Refused
    | Unsupported
)


@dataclass(frozen=True)
class Frame:
    """A message with its header.

    ``exchange`` matches an answer to its request. ``clock`` is the sender's monotonic clock,
    ``echo`` the receiver's clock as last seen by the sender; both in seconds.
    """

    exchange: int
    sender: str
    clock: float
    echo: float
    message: Message = field(default_factory=Done)
