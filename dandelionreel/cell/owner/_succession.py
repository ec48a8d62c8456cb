"""When an owner wants another host to own the cell, and which one it asks."""

import curio

from dandelionreel.cell.membership import Election, PeerLinks, larger_hosts, rank_hosts
from dandelionreel.cell.model import Member
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import CellState
from dandelionreel.kernel import Part
from dandelionreel.peers import Done, OwnerAsked, OwnerFailing, PeerError

#: Seconds before peers are asked again to take over, and how many at once: where
#: the store refuses everybody, each claim adds to what it has to do.
ASK_AGAIN = 0.7
PEERS_ASKED = 3
#: Seconds of a term before it may be handed over to a larger host: larger ones that
#: were restarted with everything else are back by then. And those for its answer.
SETTLE_SECONDS = 1.5
HAND_OVER_PATIENCE = 0.2
#: Seconds for a peer to claim the cell from an owner that leaves it, also on a slow store,
#: and between looks whether one has.
LEAVE_SECONDS = 1.5
POLL_SECONDS = 0.02


class Succession:
    """Looks for a better owner during one term."""

    def __init__(
        self,
        context: OwnerContext,
        book: CellState,
        links: PeerLinks,
        election: Election,
        host: str,
    ) -> None:
        """Ask the members in ``book`` on behalf of ``host``."""
        self._owner_context = context
        self._book = book
        self._links = links
        self._election = election
        self._host = host
        self._asked_at = float('-inf')
        self._asked_peers = 0
        self._settled_at = context.clock.monotonic() + SETTLE_SECONDS

    async def look(self, now: float) -> None:
        """Ask for a successor, or hand over, when either is due."""
        await self._ask_when_refused(now)
        await self._hand_over(now)

    async def leave(self) -> bool:
        """Have a peer take the cell over while it is still served here; return whether one has.

        After a release nothing starts until it has been read, claimed and read back. Whoever claims
        the cell from an owner at work fences it only then.
        """
        members = self._book.member_by_host
        others = [host for host in rank_hosts(members) if host != self._host][:PEERS_ASKED]
        self._owner_context.journal.tell(
            Part.OWNERSHIP,
            'asks peers to take over: it leaves the cell.',
            epoch=self._owner_context.term.epoch,
            peers=others,
        )
        asks = [await curio.spawn(self._ask, members[host], daemon=True) for host in others]
        for task in asks:
            await task.wait()
        if not any(task.result for task in asks):
            return False
        until = self._owner_context.clock.monotonic() + LEAVE_SECONDS
        while not self._owner_context.lost and self._owner_context.clock.monotonic() < until:
            await curio.sleep(POLL_SECONDS)
        return bool(self._owner_context.lost)

    async def _ask_when_refused(self, now: float) -> None:
        """Have peers claim the cell while the store serves them and not this host."""
        if not self._owner_context.writer.store_is_failing(now) or now < self._asked_at + ASK_AGAIN:
            return
        self._asked_at = now
        self._owner_context.journal.tell(
            Part.OWNERSHIP,
            'asks peers to take over: the store does not serve it.',
            epoch=self._owner_context.term.epoch,
            failing_seconds=round(now - self._owner_context.writer.failing_since, 3),
        )
        members = self._book.member_by_host
        others = [host for host in rank_hosts(members) if host != self._host]
        for _ in range(min(PEERS_ASKED, len(others))):
            host = others[self._asked_peers % len(others)]
            self._asked_peers += 1
            await curio.spawn(self._ask, members[host], daemon=True)

    async def _hand_over(self, now: float) -> None:
        """Give the cell up when a larger host lives that can own it.

        After many hosts were killed at once, a small one that was left may have claimed.
        """
        if now < self._settled_at or not self._election.may_hand_over():
            return
        members = self._book.member_by_host
        for host in larger_hosts(members, self._host)[:PEERS_ASKED]:
            if not await self._is_ready(host, members[host]):
                continue
            self._election.note_hand_over()
            self._owner_context.journal.tell(
                Part.OWNERSHIP,
                f'leaves the cell to larger hosts: {host} is ready.',
                epoch=self._owner_context.term.epoch,
            )
            await self._owner_context.ended.set()
            return
        self._settled_at = now + SETTLE_SECONDS

    async def _is_ready(self, host: str, member: Member) -> bool:
        """Return whether a host can own the cell now: one that merely lives may not.

        Just out of a cut, it has yet to read the list of runners, and starts nothing.
        """
        try:
            frame = await self._links.ask(member, OwnerAsked(''), HAND_OVER_PATIENCE)
        except PeerError as error:
            cause = f'{error}'
        else:
            if isinstance(frame.message, Done):
                return True
            cause = 'it is not ready'
        self._owner_context.journal.tell(
            Part.OWNERSHIP, f'{host} does not take the cell over: {cause}.'
        )
        return False

    async def _ask(self, member: Member) -> bool:
        """Ask a host to take over; return whether it was heard, which shows in the store."""
        try:
            frame = await self._links.ask(
                member, OwnerFailing(self._owner_context.term.term), ASK_AGAIN
            )
        except PeerError:
            return False
        return isinstance(frame.message, Done)
