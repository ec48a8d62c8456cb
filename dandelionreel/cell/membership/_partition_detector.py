"""Queries hosts of other availability zones when the store does not reply."""

import itertools
from collections.abc import Callable
from functools import partial

import curio

from dandelionreel.cell.membership._advisors import PeerLinks
from dandelionreel.cell.membership._zone_contact import STORE_OVERDUE_SECONDS, ZoneContact
from dandelionreel.cell.model import Member
from dandelionreel.cell.store import CellState
from dandelionreel.kernel import Clock, Journal, Part, seconds_or_none
from dandelionreel.peers import OwnerAsked, PeerError

#: Seconds for a peer's reply, which takes 2 ms, and up to a tenth of a second in a burst.
ANSWER_TIMEOUT = 0.2
#: Seconds between checks of the store's silence, and between rounds of queries while this host is
#: cut off.
POLL_SECONDS = 0.1
QUERY_INTERVAL_SECONDS = 0.4


class PartitionDetector:
    """Detects whether this host is cut off from the store and all other zones.

    Peers are queried only while the store is silent or after a failed attempt to store something,
    and at most once in ``QUERY_INTERVAL_SECONDS``.
    """

    def __init__(
        self,
        own_host: str,
        zone: str,
        cell_state: CellState,
        links: PeerLinks,
        store_answered_at: Callable[[], float],
        store_received_at: Callable[[], float],
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Run for the host ``own_host`` in ``zone``.

        ``store_answered_at()`` is when the store last answered, ``store_received_at()`` when bytes
        of it last arrived, both in monotonic seconds: a large answer on a slow link takes long.
        """
        self._own_host = own_host
        self._zone = zone
        self._cell_state = cell_state
        self._links = links
        self._store_answered_at = store_answered_at
        self._store_received_at = store_received_at
        self._clock = clock
        self._journal = journal
        self._zone_contact = ZoneContact()
        self._round_numbers = itertools.count()
        self._lock = curio.Lock()
        self._queried_at = float('-inf')
        self._logged_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Return whether this host is cut off, as of the latest queries."""
        now = self._clock.monotonic()
        return self._zone_contact.is_host_cut_off(self._other_zones(), self._store_heard_at(), now)

    async def run(self) -> None:
        """Query other zones whenever the store is overdue, forever."""
        while True:
            if self._clock.monotonic() - self._store_heard_at() >= STORE_OVERDUE_SECONDS:
                await self.check_other_zones()
            self._log_cut_off_change()
            await curio.sleep(POLL_SECONDS)

    async def check_other_zones(self) -> bool:
        """Query other zones unless that was just done; return whether this host is cut off."""
        async with self._lock:
            now = self._clock.monotonic()
            if now - self._queried_at >= QUERY_INTERVAL_SECONDS:
                self._queried_at = now
                await self._query_other_zones(now)
        return self.is_cut_off

    def _store_heard_at(self) -> float:
        return max(self._store_answered_at(), self._store_received_at())

    async def _query_other_zones(self, now: float) -> None:
        """Query one host of each other zone, a different one in each round."""
        round_number = next(self._round_numbers)
        queries = []
        for zone in self._other_zones():
            hosts = sorted(
                host
                for host, member in self._cell_state.member_by_host.items()
                if member.zone == zone
            )
            member = self._cell_state.member_by_host[hosts[round_number % len(hosts)]]
            queries.append(await curio.spawn(partial(self._query_host, member, now), daemon=True))
        for task in queries:
            await task.wait()

    async def _query_host(self, member: Member, queried_at: float) -> None:
        try:
            # Any reply shows that the zone is reachable; what it says does not matter.
            await self._links.request(member, OwnerAsked(''), ANSWER_TIMEOUT)
        except PeerError:
            self._zone_contact.record_miss(member.zone, queried_at)
            return
        self._zone_contact.record_reply(member.zone, self._clock.monotonic())

    def _other_zones(self) -> set[str]:
        zones = {member.zone for member in self._cell_state.member_by_host.values()}
        return zones - {self._zone, ''}

    def _log_cut_off_change(self) -> None:
        if self.is_cut_off is self._logged_cut_off:
            return
        self._logged_cut_off = self.is_cut_off
        sentence = 'is cut off' if self._logged_cut_off else 'is not cut off any more'
        self._journal.log(
            Part.PEERS,
            f'{sentence}: from the store and all other zones.',
            zones=sorted(self._other_zones()),
            store_silent=seconds_or_none(self._clock.monotonic() - self._store_answered_at()),
        )
