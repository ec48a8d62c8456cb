"""The owner of each shard, built from the zone's stream in log order."""

from dataclasses import dataclass, replace

import msgspec

from dandelionreel.backing import Position
from dandelionreel.kernel import Clock
from dandelionreel.ownership._membership import Membership
from dandelionreel.ownership._records import Claimed, Released, Renewed, ShardEpoch

#: The epoch in a claim whose author knows no earlier claim on the shard.
UNKNOWN_EPOCH = 0


@dataclass(frozen=True)
class ShardClaim:
    """The valid claim on a shard.

    ``epoch`` is the offset of its record plus one, so it is the same at every
    reader, wherever reading began. ``former_owner`` is the owner before this one, if it
    had neither released the shard nor ended when the claim was made; cleared
    once it yields. ``released``: the owner has released the shard.
    ``clean_handover``: the former owner had no work in flight when the claim
    was made. ``learned_at`` is when this daemon read the claim (monotonic).
    ``predecessor_unknown``: neither the claim's author nor this reader knew an
    earlier claim.
    """

    shard: str
    owner: str
    epoch: int
    former_owner: str = ''
    released: bool = False
    clean_handover: bool = True
    learned_at: float = 0
    predecessor_unknown: bool = False


class ShardProjection:
    """Claims by shard; of claims that replace the same epoch, the first in the log wins."""

    def __init__(self, membership: Membership, clock: Clock) -> None:
        """Check claims against ``membership``, which is built from the same stream."""
        self._membership = membership
        self._clock = clock
        self._claim_by_shard: dict[str, ShardClaim] = {}

    def reset(self) -> None:
        """Drop all claims before the log is read again."""
        self._claim_by_shard.clear()

    def get(self, shard: str) -> ShardClaim | None:
        """Return the valid claim on a shard."""
        return self._claim_by_shard.get(shard)

    def claims(self) -> tuple[ShardClaim, ...]:
        """Return the valid claims on all shards."""
        return tuple(self._claim_by_shard.values())

    def epoch(self, shard: str) -> int:
        """Return the current epoch of a shard, 0 before the first claim."""
        claim = self._claim_by_shard.get(shard)
        return claim.epoch if claim else 0

    def is_settled(self, claim: ShardClaim) -> bool:
        """Return whether nobody but the owner may act on the shard any more."""
        return not claim.former_owner or self._membership.has_ended(claim.former_owner)

    def may_be_claimed(self, shard: str, member: str) -> bool:
        """Return whether a claim by ``member`` would be valid now."""
        claim = self._claim_by_shard.get(shard)
        if claim is None:
            return True
        return self.is_settled(claim) and (claim.owner != member or claim.released)

    def apply(self, record: msgspec.Struct, position: Position) -> None:
        """Apply one record."""
        if isinstance(record, Claimed):
            for claimed in record.claims:
                self._apply_claim(record.member, claimed, position)
        elif isinstance(record, Released):
            for released in record.shards:
                self._apply_release(record.member, released)
        elif isinstance(record, Renewed):
            for renewed in record.shards:
                self._apply_renewal(record.member, renewed)

    def _apply_claim(self, member: str, claimed: ShardEpoch, position: Position) -> None:
        claim = self._claim_by_shard.get(claimed.shard)
        if not self._is_valid(member, claimed, claim):
            return
        self._claim_by_shard[claimed.shard] = ShardClaim(
            claimed.shard,
            member,
            position.offset + 1,
            former_owner=self._find_live_former_owner(claim),
            clean_handover=self._is_clean_handover(claim),
            learned_at=self._clock.monotonic(),
            predecessor_unknown=claim is None and claimed.epoch == UNKNOWN_EPOCH,
        )

    def _is_valid(self, member: str, claimed: ShardEpoch, claim: ShardClaim | None) -> bool:
        """Return whether a claim is valid, with the same result at every reader.

        A member whose log was truncated may not know an earlier claim that
        others know, and claims with epoch 0. Such a claim is valid if nobody
        else can be acting on the shard, so that all readers agree on its
        epoch instead of keeping another one.
        """
        if self._membership.has_ended(member):
            return False
        if claim is None:
            return True
        if not self.is_settled(claim):
            return False
        if claimed.epoch == claim.epoch:
            return claim.owner != member or claim.released
        if claimed.epoch != UNKNOWN_EPOCH:
            return False
        owner_gone = claim.released or self._membership.has_ended(claim.owner)
        return owner_gone or claim.owner == member

    def _find_live_former_owner(self, claim: ShardClaim | None) -> str:
        if claim is None or claim.released or self._membership.has_ended(claim.owner):
            return ''
        return claim.owner

    def _is_clean_handover(self, claim: ShardClaim | None) -> bool:
        if claim is None or claim.released:
            return True
        owner = self._membership.get(claim.owner)
        return owner is not None and owner.left_cleanly

    def _apply_release(self, member: str, released: ShardEpoch) -> None:
        claim = self._claim_by_shard.get(released.shard)
        if claim is None:
            return
        if claim.owner == member and claim.epoch == released.epoch:
            self._claim_by_shard[released.shard] = replace(claim, released=True)
        elif claim.former_owner == member and claim.epoch > released.epoch:
            self._claim_by_shard[released.shard] = replace(claim, former_owner='')

    def _apply_renewal(self, member: str, renewed: ShardEpoch) -> None:
        claim = self._claim_by_shard.get(renewed.shard)
        if claim is not None and (claim.epoch, claim.owner) == (renewed.epoch, member):
            return
        if claim is not None and claim.epoch > renewed.epoch and not claim.predecessor_unknown:
            return
        # The claim's record expired before this daemon read it. Its owner has
        # read it as the valid claim, and renews only settled claims.
        self._claim_by_shard[renewed.shard] = ShardClaim(
            renewed.shard,
            member,
            renewed.epoch,
            clean_handover=False,
            learned_at=self._clock.monotonic(),
        )
