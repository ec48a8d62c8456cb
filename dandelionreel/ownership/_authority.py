"""Whether this daemon may act on a shard right now, and how far.

Checked on the monotonic clock right before each send. See docs/DESIGN.md,
"Ownership", and spec/ownership.py, which checks these rules.
"""

import enum
from dataclasses import dataclass

from dandelionreel.backing import StreamReader
from dandelionreel.kernel import Clock, Timings
from dandelionreel.ownership._membership import Membership
from dandelionreel.ownership._promises import PromiseTracker
from dandelionreel.ownership._shards import ShardClaim, ShardProjection


class GrantLevel(enum.Enum):
    """How much of a shard may be filled.

    ``OWN_HALF``: the owner has no fresh evidence; a claimant may exist.
    ``OTHER_HALF``: this daemon has claimed it from an owner that may live.
    """

    NONE = 'none'
    OWN_HALF = 'own_half'
    OTHER_HALF = 'other_half'
    WHOLE = 'whole'


@dataclass(frozen=True)
class Grant:
    """A level, the epoch it is for, and since when nobody else may act."""

    level: GrantLevel
    epoch: int = 0
    since: float = 0


NO_GRANT = Grant(GrantLevel.NONE)


class Authority:
    """Judges this daemon's right to act, from the log and from promises."""

    def __init__(
        self,
        me: str,
        clock: Clock,
        timings: Timings,
        reader: StreamReader,
        membership: Membership,
        shards: ShardProjection,
        promises: PromiseTracker,
    ) -> None:
        """Judge for the member ``me``."""
        self._me = me
        self._clock = clock
        self._timings = timings
        self._reader = reader
        self._membership = membership
        self._shards = shards
        self._promises = promises
        #: Shards that are being given up: nothing new is started on them.
        self.suspended: set[str] = set()

    @property
    def max_start_seconds(self) -> float:
        """Return how long a start may be under way, in seconds."""
        return self._timings.start_deadline + self._timings.socket_timeout

    @property
    def takeover_wait(self) -> float:
        """Return how long a claimant waits for the former owner's authority to end."""
        drifted = self._timings.authority * (1 + self._timings.clock_drift)
        return drifted + self.max_start_seconds

    @property
    def takeover_wait_after_proof(self) -> float:
        """Return how long a dead owner's last start may still be under way."""
        return self.max_start_seconds * (1 + self._timings.clock_drift)

    def is_fresh(self) -> bool:
        """Return whether the evidence that nobody has claimed is fresh."""
        if self._membership.has_ended(self._me):
            return False
        return self.evidence_age() < self._timings.authority

    def evidence_age(self) -> float:
        """Return the age of the best evidence, from when it was asked for."""
        return self._clock.monotonic() - max(
            self._reader.evidence_at,
            self._promises.evidence_at(),
        )

    def grant(self, shard: str) -> Grant:
        """Return what this daemon may do on the shard at this moment."""
        claim = self._shards.get(shard)
        if claim is None or claim.owner != self._me or claim.released:
            return NO_GRANT
        if shard in self.suspended or self._membership.has_ended(self._me):
            return NO_GRANT
        since = self._active_at(claim)
        if self._clock.monotonic() < since:
            return NO_GRANT
        if not self._shards.is_settled(claim):
            return Grant(GrantLevel.OTHER_HALF, claim.epoch, since)
        since = max(since, self._settled_at(claim))
        if self._clock.monotonic() < since:
            return Grant(GrantLevel.OTHER_HALF, claim.epoch, self._active_at(claim))
        if self.is_fresh():
            return Grant(GrantLevel.WHOLE, claim.epoch, since)
        return Grant(GrantLevel.OWN_HALF, claim.epoch, since)

    def may_dispatch(self, shard: str) -> bool:
        """Return whether this daemon alone decides for a shard without halves.

        Half a queue makes no sense: without fresh evidence the dispatcher
        stops, and the claimant acts once its wait is over.
        """
        grant = self.grant(shard)
        if grant.level is GrantLevel.NONE:
            return False
        return self.is_fresh()

    def _active_at(self, claim: ShardClaim) -> float:
        if claim.former_owner:
            return claim.learned_at + self.takeover_wait
        if claim.clean_handover:
            return claim.learned_at
        # The former owner is proven ended, or its claim has expired: what it
        # sent last may still arrive.
        return claim.learned_at + self.takeover_wait_after_proof

    def _settled_at(self, claim: ShardClaim) -> float:
        ended_at = self._membership.ended_at_by_key.get(claim.former_owner)
        if ended_at is None:
            return claim.learned_at
        return ended_at + self.takeover_wait_after_proof
