"""Waits for an answer of a zone before its runs count as lost."""

from functools import partial

import curio

from dandelionreel.cell.membership import PeerLinks
from dandelionreel.cell.model import Member
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import CellState
from dandelionreel.kernel import Part
from dandelionreel.peers import OwnerAsked, PeerError

#: Runner silence in seconds below which no query is needed: a host takes at least as long to detect
#: that it is partitioned.
PARTITION_DETECTION_SECONDS = 0.4
#: Timeout of a host's answer, and minimum seconds between queries of the same zone.
ANSWER_TIMEOUT = 0.25
QUERY_RETRY_SECONDS = 0.5
#: Seconds after which a zone without any answering host counts as lost, together with its clients.
ZONE_LOST_SECONDS = 60.0


class ZoneConfirmation:
    """Queries the hosts of zones during one term."""

    def __init__(
        self, context: OwnerContext, cell_state: CellState, links: PeerLinks, host: str
    ) -> None:
        """Query on behalf of ``host``."""
        self._owner_context = context
        self._cell_state = cell_state
        self._links = links
        self._host = host
        self._confirmed_at_by_zone: dict[str, float] = {}
        self._queried_at_by_zone: dict[str, float] = {}
        self._lost_zones: set[str] = set()
        self._term_started_at = context.clock.monotonic()

    async def has_answered(self, zone: str, since: float) -> bool:
        """Return whether a zone has answered after a runner there became silent.

        ``since`` is the start of that silence in monotonic seconds. A zone without other hosts
        counts as confirmed, as there is nobody to query.
        """
        now = self._owner_context.clock.monotonic()
        since = max(since, self._term_started_at)
        members = self._cell_state.member_by_host
        hosts = [
            host for host, member in members.items() if member.zone == zone and host != self._host
        ]
        if not zone or not hosts or now - since < PARTITION_DETECTION_SECONDS:
            return True
        if self._confirmed_at_by_zone.get(zone, float('-inf')) > since:
            return True
        if now - since > ZONE_LOST_SECONDS:
            self._log_lost_zone(zone)
            return True
        if now - self._queried_at_by_zone.get(zone, float('-inf')) < QUERY_RETRY_SECONDS:
            return False
        self._queried_at_by_zone[zone] = now
        if not await self._query_hosts([members[host] for host in hosts]):
            return False
        self._confirmed_at_by_zone[zone] = now
        self._lost_zones.discard(zone)
        return True

    async def _query_hosts(self, members: list[Member]) -> bool:
        queries = [
            await curio.spawn(partial(self._query_host, member), daemon=True) for member in members
        ]
        for task in queries:
            await task.wait()
        return any(task.result for task in queries)

    async def _query_host(self, member: Member) -> bool:
        try:
            await self._links.request(member, OwnerAsked(''), ANSWER_TIMEOUT)
        except PeerError as error:
            self._owner_context.journal.log(
                Part.OWNERSHIP, f'a host of {member.zone} does not answer: {error}.'
            )
            return False
        return True

    def _log_lost_zone(self, zone: str) -> None:
        if zone in self._lost_zones:
            return
        self._lost_zones.add(zone)
        self._owner_context.journal.log(
            Part.OWNERSHIP,
            f'zone {zone} counts as lost: no host there has answered for too long.',
            epoch=self._owner_context.term.epoch,
        )
