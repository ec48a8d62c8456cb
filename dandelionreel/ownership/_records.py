"""Records of membership and of ownership, as they stand in the log."""

from msgspec import Struct

DISPATCH_SHARD = 'dispatch'
WORKER_PREFIX = 'worker/'
RUNNER_PREFIX = 'runner/'


def worker_shard(worker: str) -> str:
    """Return the shard of a worker."""
    return f'{WORKER_PREFIX}{worker}'


def runner_shard(runner: str) -> str:
    """Return the shard of a runner."""
    return f'{RUNNER_PREFIX}{runner}'


class Joined(Struct, frozen=True, tag='joined'):
    """A daemon listens; written again before it expires."""

    member: str
    host: str
    availability_zone: str
    address: str
    peers_port: int


class Left(Struct, frozen=True, tag='left'):
    """A daemon has stopped in order: it holds nothing and sends nothing more."""

    member: str


class Ended(Struct, frozen=True, tag='ended'):
    """A daemon is proven to have ended; ``proof`` says how."""

    member: str
    proof: str


class Alive(Struct, frozen=True, tag='alive'):
    """A daemon that some peer may not hear can still write."""

    member: str


class ShardEpoch(Struct, frozen=True):
    """A shard at an epoch."""

    shard: str
    epoch: int


class Claimed(Struct, frozen=True, tag='claimed'):
    """Takes shards; each ``epoch`` is the one that the claim replaces."""

    member: str
    claims: tuple[ShardEpoch, ...]


class Released(Struct, frozen=True, tag='released'):
    """Gives shards up, with nothing under way; also a former owner's yielding."""

    member: str
    shards: tuple[ShardEpoch, ...]


class Renewed(Struct, frozen=True, tag='kept'):
    """States ownership again, before the claim's record expires."""

    member: str
    shards: tuple[ShardEpoch, ...]


MembershipRecord = Joined | Left | Ended | Alive
ShardRecord = Claimed | Released | Renewed
