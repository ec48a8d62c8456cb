"""Decides whether, and how far, this daemon may act on a shard at this moment.

Checked on the monotonic clock right before each send. See docs/DESIGN.md,
"Ownership", and spec/ownership.py, which model-checks these rules.
"""

import enum
from dataclasses import dataclass

from dandelionreel.backing import StreamReader
from dandelionreel.kernel import Clock, Timings
from dandelionreel.ownership._membership import Membership
from dandelionreel.ownership._promises import PromiseTracker
from dandelionreel.ownership._shards import ShardClaim, ShardProjection


class GrantLevel(enum.Enum):
    """How much of a shard's capacity may be used.

    ``OWN_HALF``: this daemon owns the shard but has no fresh evidence that
    nobody has claimed it, so a claimant may be using the other half.
    ``OTHER_HALF``: this daemon has claimed the shard from an owner that may
    still be live and may be using its own half.
    """

    NONE = 'none'
    OWN_HALF = 'own_half'
    OTHER_HALF = 'other_half'
    WHOLE = 'whole'


@dataclass(frozen=True)
class Grant:
    """A level, the epoch it is for, and since when nobody else may act on that part."""

    level: GrantLevel
    epoch: int = 0
    since: float = 0


NO_GRANT = Grant(GrantLevel.NONE)


class Authority:
    """Grants this daemon the right to act on shards, by the log and by peers' promises.

    Evidence that nobody has claimed this daemon's shards is a read of the log
    up to its end, or the promises of all other members of the zone.
    """

    def __init__(
        self,
        own_member: str,
        clock: Clock,
        timings: Timings,
        reader: StreamReader,
        membership: Membership,
        shards: ShardProjection,
        promises: PromiseTracker,
    ) -> None:
        """Decide for the member ``own_member``."""
        self._own_member = own_member
        self._clock = clock
        self._timings = timings
        self._reader = reader
        self._membership = membership
        self._shards = shards
        self._promises = promises
        #: Shards about to be released: nothing new is started on them.
        self.suspended: set[str] = set()

    @property
    def max_start_seconds(self) -> float:
        """Return how long a start request may be in flight."""
        return self._timings.start_deadline + self._timings.socket_timeout

    @property
    def takeover_wait_seconds(self) -> float:
        """Return how long a claimant waits after a claim from an owner that may be live.

        By then the owner's authority has ended, also with clock drift, and
        its last start has arrived.
        """
        drifted = self._timings.authority * (1 + self._timings.clock_drift)
        return drifted + self.max_start_seconds

    @property
    def takeover_wait_after_end_seconds(self) -> float:
        """Return how long an ended owner's last start may still be in flight."""
        return self.max_start_seconds * (1 + self._timings.clock_drift)

    def is_fresh(self) -> bool:
        """Return whether the evidence is younger than the authority timeout."""
        if self._membership.has_ended(self._own_member):
            return False
        return self.evidence_age() < self._timings.authority

    def evidence_age(self) -> float:
        """Return the age of the newest evidence, counted from when it was requested."""
        return self._clock.monotonic() - max(
            self._reader.evidence_at,
            self._promises.evidence_at(),
        )

    def grant(self, shard: str) -> Grant:
        """Return what this daemon may do on the shard at this moment."""
        claim = self._shards.get(shard)
        if claim is None or claim.owner != self._own_member or claim.released:
            return NO_GRANT
        if shard in self.suspended or self._membership.has_ended(self._own_member):
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
        """Return whether this daemon may act on a shard that can't be divided in halves.

        A queue can't be shared by two dispatchers: without fresh evidence
        the owner stops, and a claimant acts once its wait is over.
        """
        grant = self.grant(shard)
        if grant.level is GrantLevel.NONE:
            return False
        return self.is_fresh()

    def _active_at(self, claim: ShardClaim) -> float:
        if claim.former_owner:
            return claim.learned_at + self.takeover_wait_seconds
        if claim.clean_handover:
            return claim.learned_at
        # The former owner is proven to have ended, or its claim has expired
        # from the log; its last start may still arrive.
        return claim.learned_at + self.takeover_wait_after_end_seconds

    def _settled_at(self, claim: ShardClaim) -> float:
        ended_at = self._membership.ended_at_by_key.get(claim.former_owner)
        if ended_at is None:
            return claim.learned_at
        return ended_at + self.takeover_wait_after_end_seconds
