"""Owner election: a host claims the cell in the store and keeps it by heartbeats there."""

import enum
import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio

from dandelionreel.cell.membership._claim_order import compute_claim_delay
from dandelionreel.cell.model import (
    LEASES_END_SECONDS,
    OWNER_KEY,
    UNKNOWN_LEASES_END_SECONDS,
    ConflictError,
    Member,
    Owner,
    StoreError,
    Topic,
    WriterFence,
    make_record,
)
from dandelionreel.cell.store import CellProjection, Follower
from dandelionreel.kernel import Clock, Journal, Part, Verdict, seconds_or_none
from dandelionreel.peers import Done, Frame, Message, OwnerAsked, PeerError, Refused

#: Seconds between the owner's heartbeats in the store.
HEARTBEAT_SECONDS = 0.3
#: Seconds without a heartbeat after which the owner is queried: two heartbeats and an append whose
#: reply was lost.
SILENT_SECONDS = 0.9
#: Timeout in seconds of the query whether an owner without heartbeats still acts, and the seconds
#: for which its confirmation prevents a claim. After ``MAX_EXCUSED_SILENCE_SECONDS`` without a
#: heartbeat the owner is not queried any more: by then it has asked for a successor itself.
OWNER_QUERY_TIMEOUT = 0.25
ALIVE_ANSWER_VALID_SECONDS = 0.5
MAX_EXCUSED_SILENCE_SECONDS = 4.0
#: Seconds without a heartbeat after an outage of the store, before the owner counts as silent. A
#: live owner retries at least that often, and can most likely write as soon as this host can read.
SILENT_AFTER_OUTAGE_SECONDS = 0.9
#: Upper limit in seconds of the random delay after a failed claim; the mean is twice the time that
#: the store needs.
MAX_CLAIM_BACKOFF_SECONDS = 0.6
#: Seconds between two handovers from this host to a larger one, which may reply to its peers and
#: yet not reach the store.
HAND_OVER_INTERVAL_SECONDS = 20.0
#: Highest age in seconds of the latest read up to the end of the topic for a host to claim.
MAX_READ_AGE_SECONDS = 1.0
#: Seconds for which an owner keeps acting without a stored heartbeat: long enough for the usual
#: outages of the store, during which no other host can claim.
AUTHORITY_SECONDS = 9.0
POLL_SECONDS = 0.05
#: Seconds for the reply to a claim, which a slow store also meets.
CLAIM_TIMEOUT = 0.8
#: Seconds for which a report counts that the owner is failing or unreachable. A report during
#: an outage of the store must not lead to a claim once the store is back.
SUSPECTED_SECONDS = 0.8
#: Seconds without a heartbeat after which an owner counts as dead that does not reply to its peers
#: or refuses connections, and the least multiple of the usual gap between heartbeats.
UNREACHABLE_SILENT_SECONDS = 0.5
UNREACHABLE_GAP_FACTOR = 1.25
#: Multiple of the usual gap between heartbeats that is allowed, so that a slow store does not look
#: like a dead owner.
SILENT_GAP_FACTOR = 2.5
#: Cores below which an owner counts as short of processor time: under load it answers queries late,
#: so a missing reply proves less, and the seconds that are added to the timeout of such a query.
SMALL_OWNER_CORES = 0.4
LATE_OWNER_QUERY_SECONDS = 0.5
#: Seconds by which this host's own polls must be late before it allows for that, the seconds for
#: which it remembers the longest delay, and the upper limit of the allowance.
MIN_OWN_DELAY_SECONDS = 0.15
OWN_DELAY_MEMORY_SECONDS = 2.0
MAX_OWN_DELAY_SECONDS = 2.0
INCARNATION_BITS = 48
#: Sequence numbers start at a random value, so that the store never takes two claims of one epoch
#: for the same append.
SEQUENCE_RANGE = 1_000_000_000

QueryPeer = Callable[[Member, Message, float], Awaitable[Frame]]


class Vacancy(enum.Enum):
    """Whether the cell may be claimed."""

    HELD = 'held'
    #: Heartbeats are missing; the owner is queried before the cell is claimed.
    SILENT = 'silent'
    VACANT = 'vacant'


def make_incarnation_id(host: str) -> str:
    """Return an id for this process, so that a restarted host is a different claimant."""
    return f'{host}/{random.SystemRandom().getrandbits(INCARNATION_BITS):012x}'


@dataclass(frozen=True)
class Term:
    """A won claim: its epoch, the writer fence of the next append, and the owner before it."""

    epoch: int
    term: str
    fence: WriterFence
    #: When the former owner's latest heartbeat was read; ``None`` without a former owner.
    silent_since: float | None
    released: bool
    #: Whether the former owner's process is known to have ended.
    former_ended: bool
    #: Seconds after the former owner's last heartbeat for which leases that were granted by owners
    #: before it may last.
    unsettled: float = 0
    former: Owner | None = None
    #: The offset at which this incarnation of the host first read the topic.
    read_from: int = 0
    #: When the won claim was sent, in monotonic seconds; ``None`` for the current
    #: time. Peers count the owner's authority from then on, so the owner does too.
    claimed_at: float | None = None

    def make_owner_record(
        self,
        beat: int = 0,
        unsettled: float = 0,
        *,
        released: bool = False,
        version: int = 0,
    ) -> Owner:
        """Return the record of this term for the store."""
        host = self.term.partition('/')[0]
        return Owner(
            self.epoch,
            host,
            self.term,
            beat,
            released,
            unsettled,
            self.read_from,
            version,
            leases_end=LEASES_END_SECONDS,
        )


class Election:
    """Watches the owner's heartbeats and claims the cell when they stop."""

    def __init__(
        self,
        topic: Topic,
        follower: Follower,
        projection: CellProjection,
        incarnation: str,
        query_peer: QueryPeer,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Claim as ``incarnation``; query owners without heartbeats by ``query_peer``."""
        self.incarnation = incarnation
        self._host = incarnation.partition('/')[0]
        self._query_peer = query_peer
        self._topic = topic
        self._follower = follower
        self._projection = projection
        self._clock = clock
        self._journal = journal
        self._unreachable_term = ''
        self._unreachable_until = 0.0
        #: Whether the owner's host refused connections, which no lack of processor time can cause.
        self._owner_refused = False
        self._suspected_term = ''
        self._suspected_until = 0.0
        self._known_alive_until = 0.0
        self._handed_over_at = float('-inf')
        self._highest_tried_epoch = 0
        self._own_delay = 0.0
        self._own_delay_until = 0.0
        self._random = random.Random(f'{incarnation}{clock.monotonic()}{os.getpid()}')

    async def wait_for_term(self, eligible: Callable[[], bool]) -> Term:
        """Return the term once this host owns the cell; it claims only while ``eligible()``."""
        vacant_since = None
        while True:
            await self._wait_for_poll()
            vacancy = self._find_vacancy() if eligible() else Vacancy.HELD
            if vacancy is Vacancy.HELD:
                vacant_since = None
                continue
            now = self._clock.monotonic()
            vacant_since = vacant_since or now
            if now - vacant_since < self._compute_own_claim_delay():
                continue
            if vacancy is Vacancy.SILENT and await self._owner_is_alive():
                continue
            term = await self._claim_cell()
            if term is not None:
                return term
            await curio.sleep(self._random.random() * MAX_CLAIM_BACKOFF_SECONDS)

    def is_current_owner(self, term: Term) -> bool:
        """Return whether the newest known owner is that of this term."""
        owner = self._projection.state.owner
        return owner is not None and owner.term == term.term

    def suspect_owner(self, term: str) -> None:
        """Treat the owner with that term as dead before its heartbeats are missing."""
        self._suspected_term = term
        self._suspected_until = self._clock.monotonic() + SUSPECTED_SECONDS

    def record_connection_refused(self, term: str) -> None:
        """Record that connections to the owner with that term are refused.

        A partition that refuses connections looks the same, so this counts only while no heartbeat
        is read either.
        """
        self._record_owner_unreachable(term)
        self._owner_refused = True

    def record_query_unanswered(self, term: str) -> None:
        """Record that a query to the owner with that term was not answered in time.

        A host that loses power or is cut off refuses no connections; this detects its loss sooner
        than missing heartbeats alone.
        """
        self._record_owner_unreachable(term)

    def record_own_delay(self, seconds: float, now: float) -> None:
        """Record by how many seconds this host's own poll was late."""
        if seconds >= self._own_delay or now >= self._own_delay_until:
            self._own_delay = seconds
            self._own_delay_until = now + OWN_DELAY_MEMORY_SECONDS

    async def handle_successor_request(self, frame: Frame) -> Message:
        """Handle an owner's request for a successor because its appends to the store fail."""
        failing: Any = frame.message
        self._journal.log(Part.OWNERSHIP, f'{frame.sender} asks for a successor.')
        self.suspect_owner(failing.term)
        return Done()

    def may_hand_over_cell(self) -> bool:
        """Return whether this host has not recently handed the cell over to a larger one."""
        return self._clock.monotonic() - self._handed_over_at > HAND_OVER_INTERVAL_SECONDS

    def record_cell_hand_over(self) -> None:
        """Record that this host hands the cell over to a larger one."""
        self._handed_over_at = self._clock.monotonic()

    def answer_owner_query(self, frame: Frame, acting: bool, ready: bool) -> Message:
        """Reply to a peer's query whether this host acts under a term.

        A query without a term asks whether this host is ``ready``, which means that it reads the
        store and can handle a client's request or own the cell.
        """
        query: Any = frame.message
        if not query.term:
            return Done() if ready else Refused('cannot own the cell now')
        if acting and query.term == self.incarnation:
            return Done()
        return Refused('does not own the cell')

    async def _wait_for_poll(self) -> None:
        slept_at = self._clock.monotonic()
        await curio.sleep(POLL_SECONDS)
        now = self._clock.monotonic()
        self.record_own_delay(now - slept_at - POLL_SECONDS, now)
        if self._is_owner_unreachable(self._clock.monotonic()):
            # Read now: a heartbeat that is already stored must not be missed.
            await self._follower.request_read()

    def _is_owner_suspected(self, owner: Owner, now: float) -> bool:
        return self._suspected_term == owner.term and now < self._suspected_until

    def _record_owner_unreachable(self, term: str) -> None:
        self._owner_refused = self._owner_refused and term == self._unreachable_term
        self._unreachable_term = term
        self._unreachable_until = self._clock.monotonic() + SUSPECTED_SECONDS

    def _is_owner_unreachable(self, now: float) -> bool:
        """Return whether the owner was recently reported as unreachable."""
        owner = self._projection.state.owner
        return (
            owner is not None
            and self._unreachable_term == owner.term
            and now < self._unreachable_until
        )

    def _is_owner_unreachable_and_silent(self, now: float) -> bool:
        """Return whether the owner neither replies to peers nor writes heartbeats."""
        gap = self._projection.average_heartbeat_gap
        unreachable_silence = max(UNREACHABLE_SILENT_SECONDS, UNREACHABLE_GAP_FACTOR * gap)
        if self._owner_may_be_late() and not self._owner_refused:
            unreachable_silence = max(SILENT_SECONDS, SILENT_GAP_FACTOR * gap)
        return (
            self._is_owner_unreachable(now)
            and now - self._projection.owner_heartbeat_at
            >= unreachable_silence + self._own_delay_allowance(now)
        )

    def _owner_may_be_late(self) -> bool:
        """Return whether the owner may be too short of processor time to reply to queries."""
        owner = self._projection.state.owner
        member = self._projection.state.member_by_host.get(owner.host) if owner else None
        return member is not None and member.cores < SMALL_OWNER_CORES

    def _own_delay_allowance(self, now: float) -> float:
        """Return the seconds by which this host may have read a stored heartbeat late.

        A host that is short of processor time would otherwise take its own delay for the owner's
        silence and claim the cell from an owner that acts.
        """
        if self._own_delay < MIN_OWN_DELAY_SECONDS or now >= self._own_delay_until:
            return 0.0
        return min(MAX_OWN_DELAY_SECONDS, self._own_delay)

    def _owner_query_timeout(self, now: float) -> float:
        """Return the timeout of an ownership query; a late owner or a late host gets more."""
        owner_allowance = LATE_OWNER_QUERY_SECONDS if self._owner_may_be_late() else 0.0
        return OWNER_QUERY_TIMEOUT + owner_allowance + self._own_delay_allowance(now)

    def _owner_was_restarted(self, owner: Owner) -> bool:
        """Return whether the owner's process was replaced by a later one on the same host."""
        if owner.host == self._host:
            return owner.term != self.incarnation
        return self._projection.state.current_owner_has_ended()

    def _find_vacancy(self) -> Vacancy:
        now = self._clock.monotonic()
        if not self._follower.has_snapshot or self._follower.age(now) > MAX_READ_AGE_SECONDS:
            return Vacancy.HELD
        owner = self._projection.state.owner
        if owner is None or owner.released:
            return Vacancy.VACANT
        if (
            self._owner_was_restarted(owner)
            or self._is_owner_suspected(owner, now)
            or self._is_owner_unreachable_and_silent(now)
        ):
            return Vacancy.VACANT
        heartbeat_at = self._projection.owner_heartbeat_at
        silent = max(SILENT_SECONDS, SILENT_GAP_FACTOR * self._projection.average_heartbeat_gap)
        if heartbeat_at < self._follower.reachable_since:
            heartbeat_at, silent = self._follower.reachable_since, SILENT_AFTER_OUTAGE_SECONDS
        silent += self._own_delay_allowance(now)
        if now - heartbeat_at < silent or now < self._known_alive_until:
            return Vacancy.HELD
        return Vacancy.SILENT

    def _compute_own_claim_delay(self) -> float:
        cell_state = self._projection.state
        return compute_claim_delay(
            cell_state.member_by_host, self._host, cell_state.owner.host if cell_state.owner else ''
        )

    async def _owner_is_alive(self) -> bool:
        """Query an owner whose heartbeats are missing whether it still acts.

        A slow store may delay heartbeats for longer than the timeout for a dead owner, and each
        claim would delay them further.
        """
        owner = self._projection.state.owner
        member = self._projection.state.member_by_host.get(owner.host) if owner else None
        now = self._clock.monotonic()
        silent = now - max(self._projection.owner_heartbeat_at, self._follower.reachable_since)
        if owner is None or member is None or silent > MAX_EXCUSED_SILENCE_SECONDS:
            return False
        try:
            frame = await self._query_peer(
                member, OwnerAsked(owner.term), self._owner_query_timeout(now)
            )
        except PeerError as error:
            self._journal.log(
                Part.OWNERSHIP, f'{owner.host} did not reply to an ownership query: {error}.'
            )
            return False
        alive = isinstance(frame.message, Done)
        self._journal.log(
            Part.OWNERSHIP,
            f'{owner.host} is silent in the store; it says that it {"acts" if alive else "ended"}.',
            epoch=owner.epoch,
            silent_seconds=round(silent, 3),
        )
        if alive:
            self._known_alive_until = self._clock.monotonic() + ALIVE_ANSWER_VALID_SECONDS
        return alive

    async def _claim_cell(self) -> Term | None:
        """Claim the cell; return the term if the claim was won.

        A claim is safe without a condition: its epoch fences all earlier writers, only one claim of
        an epoch is accepted, and all records before it are read before the owner acts. Only the
        first claim while the owner may be alive is conditional on there being no unread record,
        such as its heartbeat; on a busy topic the condition would hardly ever hold.
        """
        try:
            return await self._claim_cell_once(
                self._follower.offset if self._owner_may_be_alive() else None
            )
        except ConflictError:
            await self._read_to_topic_end()
        if self._find_vacancy() is Vacancy.HELD:
            return None
        return await self._claim_cell_once(None)

    async def _claim_cell_once(self, expected_end: int | None) -> Term | None:
        """Claim once; raises ``ConflictError`` if the topic does not end at ``expected_end``."""
        former = self._projection.state.owner
        heartbeat_at = self._projection.owner_heartbeat_at
        fence = self._next_fence(former)
        claimed_at = self._clock.monotonic()
        self._journal.log(
            Part.OWNERSHIP,
            'claims the cell.',
            epoch=fence.epoch,
            former=former.term if former else '',
            silent_seconds=seconds_or_none(claimed_at - heartbeat_at),
            usual_gap=round(self._projection.average_heartbeat_gap, 3),
            unheard=self._is_owner_unreachable(claimed_at),
            conditional=expected_end is not None,
        )
        may_be_stored = await self._append_claim(fence, expected_end)
        if not may_be_stored or not await self._confirm_claim(fence.epoch):
            # Find out who has won first: another claim now would replace the winner.
            await self._read_to_topic_end()
            return None
        self._log_ownership(fence.epoch, former, heartbeat_at)
        return Term(
            fence.epoch,
            self.incarnation,
            WriterFence(fence.epoch, fence.sequence + 1),
            heartbeat_at if former else None,
            bool(former and former.released),
            former is not None and self._owner_process_has_ended(former),
            former.unsettled if former else 0,
            former,
            self._follower.read_from,
            claimed_at,
        )

    def _owner_process_has_ended(self, owner: Owner) -> bool:
        """Return whether an owner's process is known to have ended."""
        return owner.host == self._host or self._projection.state.process_has_ended(owner)

    def _owner_may_be_alive(self) -> bool:
        """Return whether the known owner may still act."""
        owner = self._projection.state.owner
        return owner is not None and not owner.released and not self._owner_process_has_ended(owner)

    async def _read_to_topic_end(self) -> None:
        """Wait until all records up to now were read, or until that times out."""
        await self._follower.wait_until_fresh(self._clock.monotonic(), MAX_READ_AGE_SECONDS)

    def _next_fence(self, former: Owner | None) -> WriterFence:
        """Return a fence with an epoch above the owner's and all that this host has tried.

        A refused append may or may not raise the epoch that the store has seen; a higher epoch is
        accepted in either case.
        """
        known_epoch = former.epoch if former else 0
        self._highest_tried_epoch = max(known_epoch, self._highest_tried_epoch) + 1
        return WriterFence(self._highest_tried_epoch, self._random.randrange(SEQUENCE_RANGE))

    async def _append_claim(self, fence: WriterFence, expected_end: int | None) -> bool:
        """Append a claim; return whether it may be stored.

        Raises ``ConflictError`` if the topic does not end at ``expected_end``.
        """
        former = self._projection.state.owner
        # The former owner may still renew leases; the first heartbeat stores the exact
        # remaining time.
        unsettled = UNKNOWN_LEASES_END_SECONDS
        if former is not None:
            unsettled = max(former.leases_end, former.unsettled)
        owner = Owner(
            fence.epoch,
            self._host,
            self.incarnation,
            unsettled=unsettled,
            read_from=self._follower.read_from,
            leases_end=LEASES_END_SECONDS,
        )
        claim = make_record(OWNER_KEY, owner)
        try:
            await self._topic.append([claim], CLAIM_TIMEOUT, fence, expected_end)
        except ConflictError:
            raise
        except StoreError as error:
            self._journal.log(Part.OWNERSHIP, f'a claim failed: {error}.', epoch=fence.epoch)
            # The claim may be stored although its reply was lost.
            return error.verdict is not Verdict.NOT_RUN
        return True

    def _log_ownership(self, epoch: int, former: Owner | None, heartbeat_at: float) -> None:
        self._journal.log(
            Part.OWNERSHIP,
            'owns the cell.',
            epoch=epoch,
            former=former.host if former else '',
            silent_seconds=seconds_or_none(self._clock.monotonic() - heartbeat_at),
        )

    async def _confirm_claim(self, epoch: int) -> bool:
        """Read all records up to the claim; return whether it was won."""
        await self._read_to_topic_end()
        owner = self._projection.state.owner
        return owner is not None and owner.epoch == epoch and owner.term == self.incarnation
