"""Confirms what a partitioned zone's hosts have told clients before its runs count as lost.

Behind a partition the hosts of a zone tell its clients which jobs are complete. An owner outside
that let leases there expire, or counted a runner as crashed, without asking them would start tasks
of such jobs again.
"""

from dandelionreel.cell.owner._completion_gossip import CompletionGossip
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import CellState
from dandelionreel.kernel import Part

#: Seconds for which a runner must have been silent: a host finds that it is cut off in no
#: less.
CUT_SECONDS = 0.4
#: Seconds between two rounds of questions to a zone.
ASK_AGAIN = 0.5
#: Seconds after which a zone that nobody answers from counts as lost, with its clients.
LOST_SECONDS = 60.0


class ZoneConfirmation:
    """Asks the hosts of zones during one term."""

    def __init__(
        self, context: OwnerContext, book: CellState, gossip: CompletionGossip, host: str
    ) -> None:
        """Ask as ``host``."""
        self._owner_context = context
        self._book = book
        self._completion_gossip = gossip
        self._host = host
        self._confirmed_at_by_zone: dict[str, float] = {}
        self._asked_at_by_zone: dict[str, float] = {}
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
        if not zone or not hosts or now - since < CUT_SECONDS:
            return True
        if self._confirmed_at_by_zone.get(zone, float('-inf')) > since:
            return True
        if now - since > LOST_SECONDS:
            self._note_lost(zone)
            return True
        if now - self._asked_at_by_zone.get(zone, float('-inf')) < ASK_AGAIN:
            return False
        self._asked_at_by_zone[zone] = now
        if not await self._completion_gossip.ask_all([(host, members[host]) for host in hosts]):
            return False
        self._confirmed_at_by_zone[zone] = now
        self._lost_zones.discard(zone)
        return True

    def _note_lost(self, zone: str) -> None:
        if zone in self._lost_zones:
            return
        self._lost_zones.add(zone)
        self._owner_context.journal.tell(
            Part.OWNERSHIP,
            f'takes the zone {zone} for lost: no host there has answered for too long.',
            epoch=self._owner_context.term.epoch,
        )
