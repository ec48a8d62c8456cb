"""Who owns the cell: claimed in the store, kept by heartbeats there."""

import enum
import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio

from dandelionreel.cell.membership._claim_order import claim_delay
from dandelionreel.cell.model import (
    OWNER_KEY,
    UNSETTLED_SECONDS,
    ConflictError,
    Member,
    Owner,
    StoreError,
    Topic,
    WriterFence,
    make_record,
)
from dandelionreel.cell.store import Follower, JobFolder
from dandelionreel.kernel import Clock, Journal, Part, Verdict, seconds_or_none
from dandelionreel.peers import Done, Frame, Message, OwnerAsked, PeerError, Refused

#: Seconds between the owner's heartbeats in the store.
HEARTBEAT_SECONDS = 0.3
#: Seconds without a heartbeat after which the owner is asked whether it lives.
#: Two heartbeats and an append whose answer was lost.
SILENT_SECONDS = 0.9
#: Seconds for an owner's answer whether it acts, seconds for which a claim then waits, and for how
#: long an owner is believed at all: by then it has asked for a successor itself.
OWNER_QUERY_TIMEOUT = 0.25
ALIVE_ANSWER_VALID_SECONDS = 0.5
MAX_EXCUSED_SILENCE_SECONDS = 4.0
#: The same after the store was out of reach: a living owner tries at least that
#: often, and most likely writes as soon as this host reads.
SILENT_AFTER_OUTAGE_SECONDS = 0.9
#: Seconds, in the mean twice as long as the store needs, after a claim that failed.
MAX_CLAIM_BACKOFF_SECONDS = 0.6
#: Seconds between two times that a host hands the cell over to a larger one: the
#: larger one may answer its peers and not reach the store.
HAND_OVER_INTERVAL_SECONDS = 20.0
#: Seconds within which the claimant must have read up to now.
MAX_READ_AGE_SECONDS = 1.0
#: Seconds for which an owner goes on without an answered heartbeat. Long enough
#: for the usual outages of the store, in which nobody else can claim.
AUTHORITY_SECONDS = 9.0
POLL_SECONDS = 0.05
#: Seconds for the answer to a claim, also from a slow store.
CLAIM_TIMEOUT = 0.8
#: Seconds for which word of an owner's trouble counts. Where the store serves
#: nobody, it must not end in a claim when the store comes back.
SUSPECTED_SECONDS = 0.8
#: Seconds without a heartbeat after which an owner that does not answer its peers, or whose
#: port refuses connections, is taken for dead; and how many times the usual gap it must be.
UNREACHABLE_SILENT_SECONDS = 0.5
UNREACHABLE_GAP_FACTOR = 1.25
#: Heartbeats may come that many times as late as they usually do: a slow store
#: must not look like a dead owner.
SILENT_GAP_FACTOR = 2.5
#: Sequence numbers begin anywhere, so that two claims of one epoch are never
#: taken for the same append.
INCARNATION_BITS = 48
SEQUENCE_RANGE = 1_000_000_000

AskPeer = Callable[[Member, Message, float], Awaitable[Frame]]


class Vacancy(enum.Enum):
    """Whether the cell may be claimed."""

    HELD = 'held'
    SILENT = 'silent'
    VACANT = 'vacant'


def make_incarnation_id(host: str) -> str:
    """Return a name for this process's life: a restarted host is another claimant."""
    return f'{host}/{random.SystemRandom().getrandbits(INCARNATION_BITS):012x}'


@dataclass(frozen=True)
class Term:
    """A claim that was won: the epoch, and the place of the next append."""

    epoch: int
    term: str
    fence: WriterFence
    #: When the former owner was last heard of; ``None`` without one.
    silent_since: float | None
    released: bool
    #: Whether the former owner's process is known to have ended.
    former_ended: bool
    #: Seconds for which, at its last heartbeat, owners before it might still act.
    unsettled: float = 0
    former: Owner | None = None
    #: The offset at which this life of the host first read the topic.
    read_from: int = 0
    #: When the claim that won was sent, in monotonic seconds; ``None`` for just now. Peers count
    #: the owner's authority from then on, so it does too.
    claimed_at: float | None = None

    def owner_record(
        self,
        beat: int = 0,
        unsettled: float = 0,
        *,
        released: bool = False,
        version: int = 0,
    ) -> Owner:
        """Return what the store is told about this term."""
        host = self.term.partition('/')[0]
        return Owner(
            self.epoch, host, self.term, beat, released, unsettled, self.read_from, version
        )


class Election:
    """Watches the owner's heartbeats and claims the cell when they stop."""

    def __init__(
        self,
        topic: Topic,
        follower: Follower,
        folder: JobFolder,
        incarnation: str,
        ask_peer: AskPeer,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Claim for that life of a host; ask silent owners by ``ask_peer``."""
        self.incarnation = incarnation
        self._host = incarnation.partition('/')[0]
        self._ask_peer = ask_peer
        self._topic = topic
        self._follower = follower
        self._folder = folder
        self._clock = clock
        self._journal = journal
        self._unreachable_term = ''
        self._unreachable_until = 0.0
        self._suspected_term = ''
        self._suspected_until = 0.0
        self._known_alive_until = 0.0
        self._handed_over_at = float('-inf')
        self._highest_tried_epoch = 0
        self._random = random.Random(f'{incarnation}{clock.monotonic()}{os.getpid()}')

    async def wait_for_term(self, eligible: Callable[[], bool]) -> Term:
        """Return once this host owns the cell."""
        vacant_since = None
        while True:
            await self._wait_for_poll()
            vacancy = self._vacancy() if eligible() else Vacancy.HELD
            if vacancy is Vacancy.HELD:
                vacant_since = None
                continue
            now = self._clock.monotonic()
            vacant_since = vacant_since or now
            if now - vacant_since < self._claim_delay():
                continue
            if vacancy is Vacancy.SILENT and await self._owner_is_alive():
                continue
            term = await self._claim()
            if term is not None:
                return term
            await curio.sleep(self._random.random() * MAX_CLAIM_BACKOFF_SECONDS)

    def still_owner(self, term: Term) -> bool:
        """Return whether the newest owner that is known is this term's."""
        owner = self._folder.book.owner
        return owner is not None and owner.term == term.term

    def suspect(self, term: str) -> None:
        """Take the owner with that term for dead before its heartbeats are missed."""
        self._suspected_term = term
        self._suspected_until = self._clock.monotonic() + SUSPECTED_SECONDS

    def note_connection_refused(self, term: str) -> None:
        """Take note that nothing seems to listen at the owner with that term.

        A partition that refuses connections looks the same, so this counts only while no heartbeat
        is read either.
        """
        self._note_unreachable(term)

    def note_query_unanswered(self, term: str) -> None:
        """Take note that a question to the owner with that term was not answered in time.

        A host that loses power or is cut off refuses nothing; this misses it sooner than its
        heartbeats alone.
        """
        self._note_unreachable(term)

    async def handle_owner_failing(self, frame: Frame) -> Message:
        """Answer an owner that the store does not serve."""
        failing: Any = frame.message
        self._journal.tell(Part.OWNERSHIP, f'{frame.sender} asks for a successor.')
        self.suspect(failing.term)
        return Done()

    def may_hand_over(self) -> bool:
        """Return whether this host has not left the cell to a larger one lately."""
        return self._clock.monotonic() - self._handed_over_at > HAND_OVER_INTERVAL_SECONDS

    def note_hand_over(self) -> None:
        """Remember that this host leaves the cell to a larger one."""
        self._handed_over_at = self._clock.monotonic()

    def answer_owner_query(self, frame: Frame, acting: bool, ready: bool) -> Message:
        """Answer a peer that asks whether this host acts under a term.

        One that names no term asks whether this host is ``ready``: the store serves it, and
        it can take a client's request, or the cell.
        """
        query: Any = frame.message
        if not query.term:
            return Done() if ready else Refused('cannot own the cell now')
        if acting and query.term == self.incarnation:
            return Done()
        return Refused('does not own the cell')

    async def _wait_for_poll(self) -> None:
        await curio.sleep(POLL_SECONDS)
        if self._is_unreachable(self._clock.monotonic()):
            # A heartbeat that is there already must not be missed for a pause.
            await self._follower.hurry()

    def _is_suspected(self, owner: Owner, now: float) -> bool:
        return self._suspected_term == owner.term and now < self._suspected_until

    def _note_unreachable(self, term: str) -> None:
        self._unreachable_term = term
        self._unreachable_until = self._clock.monotonic() + SUSPECTED_SECONDS

    def _is_unreachable(self, now: float) -> bool:
        """Return whether the owner has just not answered a peer."""
        owner = self._folder.book.owner
        return (
            owner is not None
            and self._unreachable_term == owner.term
            and now < self._unreachable_until
        )

    def _is_unreachable_and_silent(self, now: float) -> bool:
        """Return whether the owner neither answers peers nor writes heartbeats."""
        unreachable_silence = max(
            UNREACHABLE_SILENT_SECONDS, UNREACHABLE_GAP_FACTOR * self._folder.usual_gap
        )
        return (
            self._is_unreachable(now) and now - self._folder.owner_heard_at >= unreachable_silence
        )

    def _owner_was_restarted(self, owner: Owner) -> bool:
        """Return whether this host's former process, or a later one's, held the cell."""
        if owner.host == self._host:
            return owner.term != self.incarnation
        return self._folder.book.owner_has_ended()

    def _vacancy(self) -> Vacancy:
        now = self._clock.monotonic()
        if not self._follower.started or self._follower.age(now) > MAX_READ_AGE_SECONDS:
            return Vacancy.HELD
        owner = self._folder.book.owner
        if owner is None or owner.released:
            return Vacancy.VACANT
        if (
            self._owner_was_restarted(owner)
            or self._is_suspected(owner, now)
            or self._is_unreachable_and_silent(now)
        ):
            return Vacancy.VACANT
        heard_at = self._folder.owner_heard_at
        silent = max(SILENT_SECONDS, SILENT_GAP_FACTOR * self._folder.usual_gap)
        if heard_at < self._follower.reached_since:
            heard_at, silent = self._follower.reached_since, SILENT_AFTER_OUTAGE_SECONDS
        if now - heard_at < silent or now < self._known_alive_until:
            return Vacancy.HELD
        return Vacancy.SILENT

    def _claim_delay(self) -> float:
        book = self._folder.book
        return claim_delay(book.member_by_host, self._host, book.owner.host if book.owner else '')

    async def _owner_is_alive(self) -> bool:
        """Ask an owner whose heartbeats are missed whether it still acts.

        A slow store delays heartbeats for longer than a dead owner is waited
        for, and every claim then delays them more.
        """
        owner = self._folder.book.owner
        member = self._folder.book.member_by_host.get(owner.host) if owner else None
        now = self._clock.monotonic()
        silent = now - max(self._folder.owner_heard_at, self._follower.reached_since)
        if owner is None or member is None or silent > MAX_EXCUSED_SILENCE_SECONDS:
            return False
        try:
            frame = await self._ask_peer(member, OwnerAsked(owner.term), OWNER_QUERY_TIMEOUT)
        except PeerError as error:
            self._journal.tell(Part.OWNERSHIP, f'{owner.host} does not answer: {error}.')
            return False
        alive = isinstance(frame.message, Done)
        self._journal.tell(
            Part.OWNERSHIP,
            f'{owner.host} is silent in the store; it says that it {"acts" if alive else "ended"}.',
            epoch=owner.epoch,
            silent_seconds=round(silent, 3),
        )
        if alive:
            self._known_alive_until = self._clock.monotonic() + ALIVE_ANSWER_VALID_SECONDS
        return alive

    async def _claim(self) -> Term | None:
        """Claim the cell; return the term that was won.

        A claim needs no condition to be safe: its epoch fences whoever wrote before, only one claim
        of an epoch is taken, and all that stands before it is read back. Only the first claim on an
        owner that may live is conditional on nothing unread, such as its heartbeat; on a busy topic
        the condition would hardly ever hold.
        """
        try:
            return await self._claim_once(self._follower.offset if self._may_be_alive() else None)
        except ConflictError:
            await self._catch_up()
        if self._vacancy() is Vacancy.HELD:
            return None
        return await self._claim_once(None)

    async def _claim_once(self, expected_end: int | None) -> Term | None:
        """Claim once; raises ``ConflictError`` where the topic does not end as expected."""
        former = self._folder.book.owner
        heard_at = self._folder.owner_heard_at
        fence = self._next_fence(former)
        claimed_at = self._clock.monotonic()
        self._journal.tell(
            Part.OWNERSHIP,
            'claims the cell.',
            epoch=fence.epoch,
            former=former.term if former else '',
            silent_seconds=seconds_or_none(claimed_at - heard_at),
            usual_gap=round(self._folder.usual_gap, 3),
            unheard=self._is_unreachable(claimed_at),
            conditional=expected_end is not None,
        )
        may_be_stored = await self._append_claim(fence, expected_end)
        if not may_be_stored or not await self._confirm_claim(fence.epoch):
            # Before it is known who has won, another claim would replace the winner.
            await self._catch_up()
            return None
        self._log_ownership(fence.epoch, former, heard_at)
        return Term(
            fence.epoch,
            self.incarnation,
            WriterFence(fence.epoch, fence.sequence + 1),
            heard_at if former else None,
            bool(former and former.released),
            former is not None and self._has_ended(former),
            former.unsettled if former else 0,
            former,
            self._follower.read_from,
            claimed_at,
        )

    def _has_ended(self, owner: Owner) -> bool:
        """Return whether an owner's process is known to have ended."""
        return owner.host == self._host or self._folder.book.has_ended(owner)

    def _may_be_alive(self) -> bool:
        """Return whether the owner that is known may still act."""
        owner = self._folder.book.owner
        return owner is not None and not owner.released and not self._has_ended(owner)

    async def _catch_up(self) -> None:
        """Read what has come until now, in vain where the store does not answer."""
        await self._follower.wait_fresh(self._clock.monotonic(), MAX_READ_AGE_SECONDS)

    def _next_fence(self, former: Owner | None) -> WriterFence:
        """Return a fence of an epoch above the owner's and all that were tried here.

        Whether a refused append raises the epoch that the store has seen is not
        known; a higher epoch is taken in either case.
        """
        known_epoch = former.epoch if former else 0
        self._highest_tried_epoch = max(known_epoch, self._highest_tried_epoch) + 1
        return WriterFence(self._highest_tried_epoch, self._random.randrange(SEQUENCE_RANGE))

    async def _append_claim(self, fence: WriterFence, expected_end: int | None) -> bool:
        """Append a claim; return whether it may stand.

        Raises ``ConflictError`` when the topic does not end at ``expected_end``.
        """
        # Until the first heartbeat tells better, the former owner may act on.
        owner = Owner(
            fence.epoch,
            self._host,
            self.incarnation,
            unsettled=UNSETTLED_SECONDS,
            read_from=self._follower.read_from,
        )
        claim = make_record(OWNER_KEY, owner)
        try:
            await self._topic.append([claim], CLAIM_TIMEOUT, fence, expected_end)
        except ConflictError:
            raise
        except StoreError as error:
            self._journal.tell(Part.OWNERSHIP, f'a claim failed: {error}.', epoch=fence.epoch)
            # The claim may have landed although its answer was lost.
            return error.verdict is not Verdict.NOT_RUN
        return True

    def _log_ownership(self, epoch: int, former: Owner | None, heard_at: float) -> None:
        self._journal.tell(
            Part.OWNERSHIP,
            'owns the cell.',
            epoch=epoch,
            former=former.host if former else '',
            silent_seconds=seconds_or_none(self._clock.monotonic() - heard_at),
        )

    async def _confirm_claim(self, epoch: int) -> bool:
        """Wait until the claim has been folded, and everything before it."""
        await self._catch_up()
        owner = self._folder.book.owner
        return owner is not None and owner.epoch == epoch and owner.term == self.incarnation
