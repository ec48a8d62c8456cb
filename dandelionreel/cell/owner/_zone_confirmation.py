"""Confirms what a partitioned zone's hosts have told clients before its runs count as lost.

Behind a partition the hosts of a zone tell its clients which jobs are complete. An owner outside
that let leases there expire, or counted a runner as crashed, without asking them would start tasks
of such jobs again.
"""

from dandelionreel.cell.owner._completion_gossip import CompletionGossip
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import JobBook
from dandelionreel.kernel import Part

#: Seconds for which a runner must have been silent: a host finds that it is cut off in no
#: less.
PARTITION_DETECTION_SECONDS = 0.4
#: Seconds between two rounds of questions to a zone.
QUERY_RETRY_SECONDS = 0.5
#: Seconds after which a zone that nobody answers from counts as lost, with its clients.
ZONE_LOST_SECONDS = 60.0


class ZoneConfirmation:
    """Asks the hosts of zones during one term."""

    def __init__(
        self, context: OwnerContext, book: JobBook, gossip: CompletionGossip, host: str
    ) -> None:
        """Ask as ``host``."""
        self._owner_context = context
        self._book = book
        self._completion_gossip = gossip
        self._host = host
        self._confirmed_at_by_zone: dict[str, float] = {}
        self._queried_at_by_zone: dict[str, float] = {}
        self._lost_zones: set[str] = set()
        self._began_at = context.clock.monotonic()

    async def is_confirmed(self, zone: str, since: float) -> bool:
        """Return whether hosts of a zone have told what they answered since a runner fell silent.

        ``since`` is in monotonic seconds. A zone without other hosts has nobody to ask.
        """
        now = self._owner_context.clock.monotonic()
        since = max(since, self._began_at)
        members = self._book.member_by_host
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
        if not await self._completion_gossip.query_peers([(host, members[host]) for host in hosts]):
            return False
        self._confirmed_at_by_zone[zone] = now
        self._lost_zones.discard(zone)
        return True

    def _log_lost_zone(self, zone: str) -> None:
        if zone in self._lost_zones:
            return
        self._lost_zones.add(zone)
        self._owner_context.journal.tell(
            Part.OWNERSHIP,
            f'takes the zone {zone} for lost: no host there has answered for too long.',
            epoch=self._owner_context.term.epoch,
        )
