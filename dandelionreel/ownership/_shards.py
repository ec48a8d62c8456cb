"""Who owns each shard, folded from the zone's stream in log order."""

from dataclasses import dataclass, replace

import msgspec

from dandelionreel.backing import Position
from dandelionreel.kernel import Clock
from dandelionreel.ownership._membership import Membership
from dandelionreel.ownership._records import Claimed, Released, Renewed, ShardEpoch

#: What a claim names when its maker knows no claim on the shard.
UNKNOWN_EPOCH = 0


@dataclass(frozen=True)
class ShardClaim:
    """The valid claim on a shard.

    ``epoch`` is the offset of its record plus one: the same number at every
    reader, wherever it began to read. ``former`` is the owner before, until it
    is proven ended or has yielded; ``released`` says that the owner has given
    the shard up. ``clean`` says that nothing of a former owner was under way
    when the claim was made. ``learned_at`` is when this daemon folded the
    claim, on its own clock. ``blind``: made without knowledge of a former
    claim, and read so too.
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
    """Claims by shard. The first claim in log order that names the epoch wins."""

    def __init__(self, membership: Membership, clock: Clock) -> None:
        """Judge claims by the membership of the same stream."""
        self._membership = membership
        self._clock = clock
        self._claim_by_shard: dict[str, ShardClaim] = {}

    def reset(self) -> None:
        """Forget all claims."""
        self._claim_by_shard.clear()

    def get(self, shard: str) -> ShardClaim | None:
        """Return the claim in force on a shard."""
        return self._claim_by_shard.get(shard)

    def claims(self) -> tuple[ShardClaim, ...]:
        """Return all claims."""
        return tuple(self._claim_by_shard.values())

    def epoch(self, shard: str) -> int:
        """Return the epoch in force, 0 before the first claim."""
        claim = self._claim_by_shard.get(shard)
        return claim.epoch if claim else 0

    def is_settled(self, claim: ShardClaim) -> bool:
        """Return whether nobody but the owner may still act on the shard."""
        return not claim.former_owner or self._membership.has_ended(claim.former_owner)

    def may_be_claimed(self, shard: str, member: str) -> bool:
        """Return whether a claim by ``member`` would be valid now."""
        claim = self._claim_by_shard.get(shard)
        if claim is None:
            return True
        return self.is_settled(claim) and (claim.owner != member or claim.released)

    def fold(self, record: msgspec.Struct, position: Position) -> None:
        """Apply one record."""
        if isinstance(record, Claimed):
            for claimed in record.claims:
                self._apply_claim(record.member, claimed, position)
        elif isinstance(record, Released):
            for shard_epoch in record.shards:
                self._apply_release(record.member, shard_epoch)
        elif isinstance(record, Renewed):
            for shard_epoch in record.shards:
                self._apply_renewal(record.member, shard_epoch)

    def _apply_claim(self, member: str, claimed: ShardEpoch, position: Position) -> None:
        claim = self._claim_by_shard.get(claimed.shard)
        if not self._is_valid(member, claimed, claim):
            return
        self._claim_by_shard[claimed.shard] = ShardClaim(
            claimed.shard,
            member,
            position.offset + 1,
            former_owner=self._unproven_former_owner(claim),
            clean_handover=self._is_clean_handover(claim),
            learned_at=self._clock.monotonic(),
            predecessor_unknown=claim is None and claimed.epoch == UNKNOWN_EPOCH,
        )

    def _is_valid(self, member: str, claimed: ShardEpoch, claim: ShardClaim | None) -> bool:
        """Judge a claim as every reader must, wherever it began to read.

        A reader whose log was truncated may not know a claim that others
        know. It claims with epoch 0, which is valid where nobody else can be
        acting: others then agree with it instead of keeping another epoch.
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

    def _unproven_former_owner(self, claim: ShardClaim | None) -> str:
        if claim is None or claim.released or self._membership.has_ended(claim.owner):
            return ''
        return claim.owner

    def _is_clean_handover(self, claim: ShardClaim | None) -> bool:
        if claim is None or claim.released:
            return True
        owner = self._membership.get(claim.owner)
        return owner is not None and owner.left_cleanly

    def _apply_release(self, member: str, shard_epoch: ShardEpoch) -> None:
        claim = self._claim_by_shard.get(shard_epoch.shard)
        if claim is None:
            return
        if claim.owner == member and claim.epoch == shard_epoch.epoch:
            self._claim_by_shard[shard_epoch.shard] = replace(claim, released=True)
        elif claim.former_owner == member and claim.epoch > shard_epoch.epoch:
            self._claim_by_shard[shard_epoch.shard] = replace(claim, former_owner='')

    def _apply_renewal(self, member: str, shard_epoch: ShardEpoch) -> None:
        claim = self._claim_by_shard.get(shard_epoch.shard)
        if claim is not None and (claim.epoch, claim.owner) == (shard_epoch.epoch, member):
            return
        if claim is not None and claim.epoch > shard_epoch.epoch and not claim.predecessor_unknown:
            return
        # The claim itself has expired before we read it; its owner has read
        # it as the valid one, and writes this only for settled shards.
        self._claim_by_shard[shard_epoch.shard] = ShardClaim(
            shard_epoch.shard,
            member,
            shard_epoch.epoch,
            clean_handover=False,
            learned_at=self._clock.monotonic(),
        )
