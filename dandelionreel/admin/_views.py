"""JSON documents of the operators' interface."""

import msgspec

from dandelionreel.contracts import Contract, ZoneShare


class MemberView(msgspec.Struct, frozen=True):
    """One daemon; ``heard_ago`` is seconds since its last message, -1 if there was none."""

    member: str
    availability_zone: str
    heard_ago: float
    draining: bool


class ShardView(msgspec.Struct, frozen=True):
    """One shard; ``level`` is the level of this daemon's grant on that shard."""

    shard: str
    owner: str
    epoch: int
    former: str
    released: bool
    level: str


class WorkerView(msgspec.Struct, frozen=True):
    """One worker of this zone, with the use that this daemon's ledger counts."""

    worker: str
    rack: str
    state: str
    processors: float
    memory_mb: float
    accelerators: float
    used_processors: float
    used_memory_mb: float
    used_accelerators: float
    tasks: int
    level: str


class EndpointView(msgspec.Struct, frozen=True):
    """One runner of this zone."""

    runner: str
    service: str
    state: str
    slots: int
    in_use: int
    foreign: int
    limit: int
    connections: int
    level: str


class PendingVersionView(msgspec.Struct, frozen=True):
    """A contract version being published, and the members that have not confirmed it."""

    version: int
    author: str
    missing: tuple[str, ...]


class VersionOutcomeView(msgspec.Struct, frozen=True):
    """How a published version ended; ``wall`` is in Unix time."""

    version: int
    state: str
    detail: str
    author: str
    wall: float


class ContractView(msgspec.Struct, frozen=True):
    """A customer's contract in force, its pending version and past outcomes."""

    contract: Contract | None
    pending: PendingVersionView | None
    shares: tuple[ZoneShare, ...]
    history: tuple[VersionOutcomeView, ...]


class StatusView(msgspec.Struct, frozen=True):
    """The state of this daemon."""

    member: str
    availability_zone: str
    version: str
    ready: bool
    reasons: tuple[str, ...]
    is_member: bool
    draining: bool
    dispatches: bool
    evidence_age: float
    log_outage: float
    owned_shards: int
    requests_in_flight: int
    jobs_by_state: dict[str, int]
    contracts: dict[str, int]


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A contract version to publish."""

    contract: msgspec.Raw
    replaces: int
    author: str = ''


class PublishResult(msgspec.Struct, frozen=True):
    """The answer to a publication once the contract version is in force."""

    customer: str
    version: int
    state: str


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint to drain; empty for this daemon itself."""

    endpoint: str = ''


class Acknowledgement(msgspec.Struct, frozen=True):
    """A positive answer in one sentence."""

    detail: str
