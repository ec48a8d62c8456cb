"""Claims, releases and takes over shards, so that each shard has one live owner."""

import abc
from collections.abc import Iterable

import xxhash

from dandelionreel.backing import LogError, StreamReader, StreamWriter
from dandelionreel.kernel import Clock, Journal, Limits, Part, Timings, Verdict
from dandelionreel.ownership._authority import Authority
from dandelionreel.ownership._membership import Membership, member_keys
from dandelionreel.ownership._promises import PromiseTracker
from dandelionreel.ownership._records import Alive, Claimed, Released, Renewed, ShardEpoch
from dandelionreel.ownership._shards import ShardClaim, ShardProjection

CHECK_INTERVAL_SECONDS = 0.5
WRITE_TIMEOUT_SECONDS = 5.0
#: After a takeover, this daemon doesn't take over the same shard again for this
#: long, doubled each time. Otherwise two daemons that can't hear each other
#: would keep taking the shard from each other.
TAKEOVER_BACKOFF_SECONDS = 10.0
MAX_TAKEOVER_BACKOFF_SECONDS = 160.0
#: Margin for members that write their records again later than due.
RESTATE_MARGIN_SECONDS = 2.0


class PeerStatus(abc.ABC):
    """Status of the other members of the zone, as the claimer needs it."""

    @abc.abstractmethod
    def is_silent(self, member: str) -> bool:
        """Return whether there is no recent sign of life of the member.

        Signs are messages to this daemon, those that other members of the
        zone report, and the member's records in the log.
        """

    @abc.abstractmethod
    def is_draining(self, member: str) -> bool:
        """Return whether the member has announced that it is about to leave."""

    @abc.abstractmethod
    def has_acknowledged_own_member(self, member: str) -> bool:
        """Return whether the member's view contains this daemon.

        The member then needs this daemon's promise for its evidence.
        """


class ShardUser(abc.ABC):
    """A component of the daemon that acts on shards and needs them owned."""

    @abc.abstractmethod
    def wanted_shards(self) -> Iterable[str]:
        """Return the shards that should have an owner in this zone."""

    @abc.abstractmethod
    async def prepare_release(self, shard: str) -> bool:
        """Return whether a suspended shard has no work in flight and may be released."""


def choose_owner(shard: str, hosts: Iterable[str]) -> str:
    """Return the host that should own a shard, by rendezvous hashing."""
    best = ''
    highest_score = -1
    for host in hosts:
        score = xxhash.xxh64_intdigest(f'{shard}|{host}'.encode())
        if score > highest_score:
            best, highest_score = host, score
    return best


def host_of(member: str) -> str:
    """Return the host part of a member's key (``host/incarnation``)."""
    host, _, _ = member.partition('/')
    return host


class ShardClaimer:
    """Moves shards of the zone to the hosts that should own them, a few at a time."""

    def __init__(
        self,
        own_member: str,
        zone: str,
        clock: Clock,
        timings: Timings,
        limits: Limits,
        membership: Membership,
        shards: ShardProjection,
        promises: PromiseTracker,
        authority: Authority,
        peer_status: PeerStatus,
        reader: StreamReader,
        writer: StreamWriter,
        journal: Journal,
    ) -> None:
        """Act for the member ``own_member`` of ``zone``."""
        self._own_member = own_member
        self._zone = zone
        self._clock = clock
        self._timings = timings
        self._limits = limits
        self._membership = membership
        self._shards = shards
        self._promises = promises
        self._authority = authority
        self._peer_status = peer_status
        self._reader = reader
        self._writer = writer
        self._journal = journal
        self._users: list[ShardUser] = []
        #: When the back-off ends, and its length in seconds.
        self._takeover_backoff_by_shard: dict[str, tuple[float, float]] = {}
        #: The owner to whom the promise is withheld, and the epoch of its claim.
        self._withheld_by_shard: dict[str, tuple[str, int]] = {}
        self._unconfirmed_claims: set[str] = set()
        #: The epoch of the claim, and when it was last written.
        self._renewed_at_by_shard: dict[str, tuple[int, float]] = {}
        self._target_hosts: tuple[str, ...] = ()
        self._target_by_shard: dict[str, str] = {}
        self.draining = False
        self.takeovers = 0

    def add_user(self, user: ShardUser) -> None:
        """Also claim the shards that ``user`` wants."""
        self._users.append(user)

    def owned_claims(self) -> tuple[ShardClaim, ...]:
        """Return this daemon's claims that it hasn't released."""
        return tuple(
            claim
            for claim in self._shards.claims()
            if claim.owner == self._own_member and not claim.released
        )

    def may_claim(self) -> bool:
        """Return whether this daemon may claim shards.

        Every live member of the zone must have acknowledged this daemon: only
        then do owners require its promise before they act without the log.
        """
        if not self._membership.is_live(self._own_member):
            return False
        # A log that was truncated recently may lack the claims of shards that
        # have owners; the owners restate their claims within this time.
        if not self._reader.covers_last_seconds(self._restated_within):
            return False
        for member in self._membership.live(self._zone):
            if member.key == self._own_member:
                continue
            if not self._peer_status.has_acknowledged_own_member(member.key):
                return False
        return True

    async def run(self) -> None:
        """Claim and release shards when the log changes, or after the check interval."""
        while True:
            change_count = self._reader.changed.count
            try:
                await self.run_once()
            except LogError as error:
                self._journal.log(Part.OWNERSHIP, f'could not write to the log: {error}.')
            await self._reader.changed.wait(change_count, CHECK_INTERVAL_SECONDS)

    async def run_once(self) -> None:
        """Write all claims, releases and renewals that are due."""
        if not self._reader.caught_up or not self._membership.is_live(self._own_member):
            return
        await self._invalidate_unconfirmed_claims()
        self._resume_promises()
        await self._yield_taken_shards()
        await self._release_surplus()
        if self.may_claim() and not self.draining:
            await self._claim_assigned_shards()
        await self._renew_claims()

    @property
    def _restated_within(self) -> float:
        """Return the seconds within which every record still in force is written again."""
        return self._timings.retention / 3 + RESTATE_MARGIN_SECONDS

    async def _claim_assigned_shards(self) -> None:
        hosts = self._candidate_hosts()
        wanted = []
        for shard in self._list_wanted_shards():
            if self._target_host(shard, hosts) != host_of(self._own_member):
                continue
            if not self._shards.may_be_claimed(shard, self._own_member):
                continue
            claim = self._shards.get(shard)
            if claim is not None and not self._may_take_over(claim):
                continue
            wanted.append(shard)
        if wanted:
            await self._claim(wanted[: self._limits.group_records])

    def _may_take_over(self, claim: ShardClaim) -> bool:
        if claim.released or self._membership.has_ended(claim.owner):
            return True
        if not self._peer_status.is_silent(claim.owner):
            return False
        until, _ = self._takeover_backoff_by_shard.get(claim.shard, (0.0, 0.0))
        return self._clock.monotonic() >= until

    async def _claim(self, wanted: list[str]) -> None:
        for shard in wanted:
            self._withhold_promise(shard)
        claims = tuple(ShardEpoch(shard, self._shards.epoch(shard)) for shard in wanted)
        try:
            await self._writer.write(Claimed(self._own_member, claims), WRITE_TIMEOUT_SECONDS)
        except LogError as error:
            self._handle_failed_claim(wanted, error)
            raise
        claimed = [shard for shard in wanted if self._owns(shard)]
        for shard in claimed:
            self._log_claimed(shard)

    def _withhold_promise(self, shard: str) -> None:
        claim = self._shards.get(shard)
        if claim is None or claim.released or self._membership.has_ended(claim.owner):
            return
        if shard in self._withheld_by_shard:
            return
        self._promises.withhold_promise(claim.owner)
        self._withheld_by_shard[shard] = (claim.owner, claim.epoch)

    def _handle_failed_claim(self, wanted: list[str], error: LogError) -> None:
        if error.verdict is Verdict.UNKNOWN:
            self._unconfirmed_claims.update(wanted)
            return
        for shard in wanted:
            self._resume_promise(shard)

    async def _invalidate_unconfirmed_claims(self) -> None:
        """Make sure that claims with an unknown outcome can't take effect later.

        Such a claim may still reach the log at any time. If this daemon
        promised to the current owner meanwhile, both might act on the shard.
        Once a later record of this daemon has been read back, every reader
        drops the claim because its record number is lower.
        """
        if not self._unconfirmed_claims:
            return
        await self._writer.write(Alive(self._own_member), WRITE_TIMEOUT_SECONDS)
        for shard in tuple(self._unconfirmed_claims):
            self._unconfirmed_claims.discard(shard)
            _, epoch = self._withheld_by_shard.get(shard, ('', 0))
            if self._shards.epoch(shard) == epoch:
                self._resume_promise(shard)

    def _resume_promises(self) -> None:
        """Resume promises to owners whose shards this daemon has tried to claim.

        A promise resumes once another claim has won, or the former owner has
        ended or yielded.
        """
        for shard, (_, epoch) in tuple(self._withheld_by_shard.items()):
            claim = self._shards.get(shard)
            if claim is None or claim.epoch == epoch:
                continue
            if claim.owner == self._own_member and not self._shards.is_settled(claim):
                continue
            self._resume_promise(shard)

    def _resume_promise(self, shard: str) -> None:
        owner, _ = self._withheld_by_shard.pop(shard, ('', 0))
        if owner:
            self._promises.resume_promise(owner)

    def _log_claimed(self, shard: str) -> None:
        claim = self._shards.get(shard)
        if claim is None:
            return
        reason = 'it had no owner'
        if claim.former_owner:
            reason = f'{claim.former_owner} was silent'
            self.takeovers += 1
            self._back_off_takeover(shard)
        self._journal.log(
            Part.OWNERSHIP,
            f'claimed {shard}; {reason}.',
            shard=shard,
            epoch=claim.epoch,
            former=claim.former_owner,
        )

    def _back_off_takeover(self, shard: str) -> None:
        _, last_length = self._takeover_backoff_by_shard.get(shard, (0.0, 0.0))
        length = min(max(TAKEOVER_BACKOFF_SECONDS, last_length * 2), MAX_TAKEOVER_BACKOFF_SECONDS)
        self._takeover_backoff_by_shard[shard] = (self._clock.monotonic() + length, length)

    async def _yield_taken_shards(self) -> None:
        """Yield shards that other members have claimed from this daemon.

        The record is written once the shard has no work in flight.
        """
        yielded = []
        for claim in self._shards.claims():
            if claim.former_owner != self._own_member:
                continue
            if await self._prepare_release(claim.shard):
                yielded.append(ShardEpoch(claim.shard, claim.epoch - 1))
        if yielded:
            await self._writer.write(
                Released(self._own_member, tuple(yielded)), WRITE_TIMEOUT_SECONDS
            )
            self._journal.log(Part.OWNERSHIP, f'yielded {len(yielded)} shards to claimants.')

    async def _release_surplus(self) -> None:
        claims_to_renew = self._find_surplus()
        # Shards that should stay with this daemon after all are used again.
        self._authority.suspended.intersection_update(claim.shard for claim in claims_to_renew)
        released = []
        for claim in claims_to_renew:
            self._authority.suspended.add(claim.shard)
            if await self._prepare_release(claim.shard):
                released.append(ShardEpoch(claim.shard, claim.epoch))
        if not released:
            return
        try:
            await self._writer.write(
                Released(self._own_member, tuple(released)), WRITE_TIMEOUT_SECONDS
            )
        finally:
            for shard_epoch in released:
                self._authority.suspended.discard(shard_epoch.shard)
        self._journal.log(
            Part.OWNERSHIP,
            f'released {len(released)} shards that other hosts should own.',
            shards=[shard_epoch.shard for shard_epoch in released],
        )

    def _find_surplus(self) -> tuple[ShardClaim, ...]:
        hosts = self._candidate_hosts()
        surplus = [
            claim
            for claim in self.owned_claims()
            if self._shards.is_settled(claim)
            and (self.draining or self._belongs_elsewhere(claim, hosts))
        ]
        if self.draining:
            return tuple(surplus)
        count = max(1, int(self._limits.moves_per_second * CHECK_INTERVAL_SECONDS))
        return tuple(surplus[:count])

    def _belongs_elsewhere(self, claim: ShardClaim, hosts: tuple[str, ...]) -> bool:
        best = self._target_host(claim.shard, hosts)
        return bool(best) and best != host_of(self._own_member)

    def _target_host(self, shard: str, hosts: tuple[str, ...]) -> str:
        """Return the host that should own a shard; cached until the hosts change."""
        if hosts != self._target_hosts:
            self._target_hosts = hosts
            self._target_by_shard.clear()
        target = self._target_by_shard.get(shard)
        if target is None:
            target = choose_owner(shard, hosts)
            self._target_by_shard[shard] = target
        return target

    def _candidate_hosts(self) -> tuple[str, ...]:
        keys = member_keys(self._membership.live(self._zone))
        return tuple(
            host_of(key)
            for key in keys
            if (key == self._own_member and not self.draining) or self._may_own(key)
        )

    def _may_own(self, key: str) -> bool:
        if key == self._own_member:
            return False
        return not (self._peer_status.is_silent(key) or self._peer_status.is_draining(key))

    async def _prepare_release(self, shard: str) -> bool:
        for user in self._users:
            if not await user.prepare_release(shard):
                return False
        return True

    async def _renew_claims(self) -> None:
        """Renew each claim after a third of the log's retention.

        The log would otherwise lose the claim when its record expires.
        """
        now = self._clock.monotonic()
        claims_to_renew = []
        for claim in self.owned_claims():
            if not self._shards.is_settled(claim):
                continue
            epoch, written = self._renewed_at_by_shard.get(claim.shard, (0, 0.0))
            if epoch != claim.epoch:
                written = claim.learned_at
                self._renewed_at_by_shard[claim.shard] = (claim.epoch, written)
            if now - written > self._timings.retention / 3:
                claims_to_renew.append(ShardEpoch(claim.shard, claim.epoch))
        if not claims_to_renew:
            return
        await self._writer.write(
            Renewed(self._own_member, tuple(claims_to_renew)), WRITE_TIMEOUT_SECONDS
        )
        for renewed in claims_to_renew:
            self._renewed_at_by_shard[renewed.shard] = (renewed.epoch, now)

    def _list_wanted_shards(self) -> tuple[str, ...]:
        found: list[str] = []
        for user in self._users:
            found.extend(user.wanted_shards())
        return tuple(sorted(found))

    def _owns(self, shard: str) -> bool:
        claim = self._shards.get(shard)
        return claim is not None and claim.owner == self._own_member and not claim.released
