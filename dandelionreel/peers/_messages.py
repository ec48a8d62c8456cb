"""Typed messages between daemons; ``_codec`` puts them on the wire."""

from dataclasses import dataclass, field

import xxhash

from dandelionreel.accounts import Caller
from dandelionreel.backing import NOTHING, Resources
from dandelionreel.http import Answer, Request
from dandelionreel.peers._cell_messages import (
    AdviceGiven,
    AdviceWanted,
    CompletionsSeen,
    CompletionsTold,
    CompletionsWanted,
    ConfigurationGiven,
    ConfigurationWanted,
    OwnerAsked,
    OwnerFailing,
)


def hash_member(member: str) -> int:
    """Return the short name of a member's key."""
    return xxhash.xxh3_64_intdigest(member.encode())


@dataclass(frozen=True)
class ServiceSlots:
    """Free slots for one service on the runners that a daemon owns."""

    service: str
    free_slots: int


@dataclass(frozen=True)
class Gossip:
    """What every heartbeat and its answer tell about the sender.

    ``view`` and ``heard`` name members by ``hash_member``: their keys in full
    would be most of a heartbeat.
    """

    view: tuple[int, ...] = ()
    heard: tuple[int, ...] = ()
    service_slots: tuple[ServiceSlots, ...] = ()
    leaving: tuple[str, ...] = ()
    contracts: int = 0
    draining: bool = False


@dataclass(frozen=True)
class Heartbeat:
    """Asks a member for its promise."""

    availability_zone: str
    gossip: Gossip


@dataclass(frozen=True)
class HeartbeatAnswer:
    """Gives the promise, or withholds it during a claim."""

    promise: bool
    gossip: Gossip


@dataclass(frozen=True)
class Forward:
    """A caller's request, handed to a daemon that may have room for it.

    ``caller`` is whose it is as the sender has found, ``None`` where it did not look.
    """

    request: Request
    remaining: float
    hops: int
    caller: Caller | None = None


@dataclass(frozen=True)
class ForwardAnswer:
    """The answer to a forwarded request; ``no_room`` says that nothing ran."""

    answer: Answer
    no_room: bool = False


@dataclass(frozen=True)
class PlaceOrder:
    """A dispatcher asks the owner of a worker to start one task."""

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
    """Whether the task was started, refused, or may have been started."""

    outcome: str
    cause: str = ''


@dataclass(frozen=True)
class TaskAction:
    """A dispatcher asks the owner of a worker to stop, checkpoint or throttle."""

    dispatch_epoch: int
    worker: str
    task_id: str
    action: str


@dataclass(frozen=True)
class TaskReport:
    """One task as the owner of its worker knows it."""

    id: str
    job: str
    attempt: int
    customer: str
    task_class: str
    running: bool
    outcome: str
    demand: Resources
    used: Resources = NOTHING


@dataclass(frozen=True)
class WorkerReport:
    """All tasks of one worker.

    ``silent`` is how long nobody can have renewed its leases, in seconds;
    ``remembers`` how far back it knows every task that it was told to start.
    ``as_of`` is the receiver's clock as the sender had last seen it when it
    made this report: what the receiver learned later is not in it. The sender
    refuses orders of dispatchers older than ``dispatch_epoch``.
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
    """Asks for the peer's contracts."""


@dataclass(frozen=True)
class Done:
    """The message was taken."""


@dataclass(frozen=True)
class Refused:
    """The message was not acted upon."""

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
    | CompletionsTold
    | CompletionsWanted
    | CompletionsSeen
    | ConfigurationWanted
    | ConfigurationGiven
    | Done
    | Refused
)


@dataclass(frozen=True)
class Frame:
    """One message with what every message carries; clocks are in seconds."""

    exchange: int
    sender: str
    clock: float
    echo: float
    message: Message = field(default_factory=Done)
