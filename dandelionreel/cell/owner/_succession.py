"""Decides when the owner should be replaced, and asks peers to take the cell over."""

from collections.abc import Mapping

import curio

from dandelionreel.cell.membership import Election, PeerLinks, find_larger_hosts, rank_hosts
from dandelionreel.cell.model import Member
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.owner._pacing import LARGER_FACTOR
from dandelionreel.cell.store import CellState
from dandelionreel.kernel import Part
from dandelionreel.peers import Done, OwnerAsked, OwnerFailing, PeerError

#: Seconds between two rounds of requests to take over, and the number of peers asked in a round.
#: Few are asked, since the store may refuse every host and each claim adds to its load.
REQUEST_RETRY_SECONDS = 0.7
PEERS_PER_REQUEST = 3
#: Seconds from the start of a term to the first attempt to hand the cell over to a larger host, and
#: between attempts: larger hosts that were restarted together with this one are back by then.
MIN_TERM_SECONDS = 1.5
#: Timeout in seconds of a larger host's answer whether it is ready.
READY_TIMEOUT = 0.2
#: Seconds for a peer to claim the cell from an owner that is shutting down, even if the store is
#: slow, and seconds between checks whether one has.
TAKEOVER_TIMEOUT = 1.5
POLL_SECONDS = 0.02


class Succession:
    """Looks for a successor during one term."""

    def __init__(
        self,
        context: OwnerContext,
        cell_state: CellState,
        links: PeerLinks,
        election: Election,
        host: str,
    ) -> None:
        """Ask the members in ``cell_state`` on behalf of ``host``."""
        self._owner_context = context
        self._cell_state = cell_state
        self._links = links
        self._election = election
        self._host = host
        self._last_request_at = float('-inf')
        self._request_count = 0
        self._next_hand_over_at = context.clock.monotonic() + MIN_TERM_SECONDS

    async def request_or_hand_over_if_due(self, now: float) -> None:
        """Request a takeover if the store fails, or hand over to a larger host if that is due."""
        await self._request_takeover_if_store_fails(now)
        await self._hand_over_to_larger_host(now)

    async def request_takeover(self) -> bool:
        """Ask peers to take over while this host still serves the cell; return whether one has.

        After a release no task starts until a successor has read it, claimed the cell and read its
        claim back. An owner that stays active is fenced only by the claim, so that gap is avoided.
        """
        members = self._cell_state.member_by_host
        others = [host for host in rank_hosts(members) if host != self._host][:PEERS_PER_REQUEST]
        self._owner_context.journal.log(
            Part.OWNERSHIP,
            'asks peers to take over: this host gives the cell up.',
            epoch=self._owner_context.term.epoch,
            peers=others,
        )
        requests = [
            await curio.spawn(self._send_takeover_request, members[host], daemon=True)
            for host in others
        ]
        for task in requests:
            await task.wait()
        if not any(task.result for task in requests):
            return False
        until = self._owner_context.clock.monotonic() + TAKEOVER_TIMEOUT
        while not self._owner_context.end_reason and self._owner_context.clock.monotonic() < until:
            await curio.sleep(POLL_SECONDS)
        return bool(self._owner_context.end_reason)

    async def _request_takeover_if_store_fails(self, now: float) -> None:
        """Ask peers to claim the cell if appends of this host fail, as theirs may succeed."""
        if (
            not self._owner_context.writer.store_is_failing(now)
            or now < self._last_request_at + REQUEST_RETRY_SECONDS
        ):
            return
        self._last_request_at = now
        self._owner_context.journal.log(
            Part.OWNERSHIP,
            'asks peers to take over: appends of this host fail.',
            epoch=self._owner_context.term.epoch,
            failing_seconds=round(now - self._owner_context.writer.failing_since, 3),
        )
        members = self._cell_state.member_by_host
        others = [host for host in rank_hosts(members) if host != self._host]
        for _ in range(min(PEERS_PER_REQUEST, len(others))):
            host = others[self._request_count % len(others)]
            self._request_count += 1
            await curio.spawn(self._send_takeover_request, members[host], daemon=True)

    async def _hand_over_to_larger_host(self, now: float) -> None:
        """End the term if a larger host is ready to own the cell.

        A small host may have claimed the cell because it was the only one left after many hosts
        were killed at once.
        """
        if now < self._next_hand_over_at or not self._election.may_hand_over_cell():
            return
        members = self._cell_state.member_by_host
        for host in self._list_larger_hosts(members, now)[:PEERS_PER_REQUEST]:
            if not await self._is_ready_to_own(host, members[host]):
                continue
            self._election.record_cell_hand_over()
            self._owner_context.journal.log(
                Part.OWNERSHIP,
                f'hands the cell over to larger hosts: {host} is ready.',
                epoch=self._owner_context.term.epoch,
                late=self._owner_context.pacing.is_late,
            )
            await self._owner_context.ended.set()
            return
        self._next_hand_over_at = now + MIN_TERM_SECONDS

    def _list_larger_hosts(self, members: Mapping[str, Member], now: float) -> list[str]:
        """Return the hosts that should own the cell instead, the one with most cores first."""
        larger = find_larger_hosts(members, self._host)
        own = members.get(self._host)
        if larger or own is None or not self._owner_context.pacing.should_hand_over(now):
            return larger
        needed_cores = LARGER_FACTOR * own.cores
        return [host for host in rank_hosts(members) if members[host].cores >= needed_cores]

    async def _is_ready_to_own(self, host: str, member: Member) -> bool:
        """Return whether a host is ready to own the cell; being alive is not enough.

        Right after a partition it has not read the runner list yet and could start no tasks.
        """
        try:
            frame = await self._links.request(
                member, OwnerAsked(''), self._owner_context.pacing.extend_timeout(READY_TIMEOUT)
            )
        except PeerError as error:
            cause = f'{error}'
        else:
            if isinstance(frame.message, Done):
                return True
            cause = 'it is not ready'
        self._owner_context.journal.log(
            Part.OWNERSHIP, f'{host} does not take the cell over: {cause}.'
        )
        return False

    async def _send_takeover_request(self, member: Member) -> bool:
        """Ask a host to take over; return whether it acknowledged. A claim shows in the store."""
        try:
            frame = await self._links.request(
                member, OwnerFailing(self._owner_context.term.term), REQUEST_RETRY_SECONDS
            )
        except PeerError:
            return False
        return isinstance(frame.message, Done)
