"""Ownership of shards: one owner for each worker, runner and dispatch queue of a zone."""

from dandelionreel.ownership._authority import NO_GRANT, Authority, Grant, GrantLevel
from dandelionreel.ownership._claimer import (
    PeerStatus,
    ShardClaimer,
    ShardUser,
    choose_owner,
    host_of_member,
)
from dandelionreel.ownership._membership import Member, Membership, member_keys
from dandelionreel.ownership._peer_monitor import PeerMonitor
from dandelionreel.ownership._promises import PromiseTracker
from dandelionreel.ownership._records import (
    DISPATCH_SHARD,
    RUNNER_PREFIX,
    WORKER_PREFIX,
    Alive,
    Claimed,
    Ended,
    Joined,
    Left,
    MembershipRecord,
    Released,
    Renewed,
    ShardEpoch,
    ShardRecord,
    runner_shard,
    worker_shard,
)
from dandelionreel.ownership._shards import ShardClaim, ShardProjection

__all__ = (
    'DISPATCH_SHARD',
    'NO_GRANT',
    'RUNNER_PREFIX',
    'WORKER_PREFIX',
    'Alive',
    'Authority',
    'Claimed',
    'Ended',
    'Grant',
    'GrantLevel',
    'Joined',
    'Left',
    'Member',
    'Membership',
    'MembershipRecord',
    'PeerMonitor',
    'PeerStatus',
    'PromiseTracker',
    'Released',
    'Renewed',
    'ShardClaim',
    'ShardClaimer',
    'ShardEpoch',
    'ShardProjection',
    'ShardRecord',
    'ShardUser',
    'choose_owner',
    'host_of_member',
    'member_keys',
    'runner_shard',
    'worker_shard',
)
