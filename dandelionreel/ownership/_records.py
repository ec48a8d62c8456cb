"""Log records of membership and of shard ownership."""

from msgspec import Struct

DISPATCH_SHARD = 'dispatch'
WORKER_PREFIX = 'worker/'
RUNNER_PREFIX = 'runner/'


def worker_shard(worker: str) -> str:
    """Return the name of a worker's shard."""
    return f'{WORKER_PREFIX}{worker}'


def runner_shard(runner: str) -> str:
    """Return the name of a runner's shard."""
    return f'{RUNNER_PREFIX}{runner}'


class Joined(Struct, frozen=True, tag='joined'):
    """A daemon is listening at this address; written again before the record expires."""

    member: str
    host: str
    availability_zone: str
    address: str
    peers_port: int


class Left(Struct, frozen=True, tag='left'):
    """A daemon has shut down in order: it owns no shards and sends no more messages."""

    member: str


class Ended(Struct, frozen=True, tag='ended'):
    """A daemon is proven to have ended; ``proof`` is the kind of proof."""

    member: str
    proof: str


class Alive(Struct, frozen=True, tag='alive'):
    """A daemon is alive; written for peers that may not receive its heartbeats."""

    member: str


class ShardEpoch(Struct, frozen=True):
    """A shard and the epoch of a claim on it; each new claim has a higher epoch."""

    shard: str
    epoch: int


class Claimed(Struct, frozen=True, tag='claimed'):
    """Claims shards; each ``epoch`` is that of the earlier claim that this one replaces."""

    member: str
    claims: tuple[ShardEpoch, ...]


class Released(Struct, frozen=True, tag='released'):
    """Releases shards that have no work in flight.

    Written by an owner, or by a former owner that yields shards to a claimant.
    """

    member: str
    shards: tuple[ShardEpoch, ...]


class Renewed(Struct, frozen=True, tag='kept'):
    """Writes the claims on owned shards again before their records expire."""

    member: str
    shards: tuple[ShardEpoch, ...]


MembershipRecord = Joined | Left | Ended | Alive
ShardRecord = Claimed | Released | Renewed
