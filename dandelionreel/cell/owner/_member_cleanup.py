"""Removes members that do not answer the owner any more.

A host that is lost cannot delete its record. Its rank as a successor, as the writer of its zone and
as a peer to be queried would be used up for good. The owner's append is fenced, so a former owner
removes nothing, and a host that is alive writes its record again.
"""

import curio

from dandelionreel.cell.membership import PeerLinks
from dandelionreel.cell.model import MEMBER_PREFIX, Member, make_tombstone
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import CellState
from dandelionreel.kernel import Part
from dandelionreel.peers import OwnerAsked, PeerError

#: Seconds between queries, each to one member, and for an answer.
QUERY_SECONDS = 1.0
ANSWER_TIMEOUT = 0.5
#: Seconds without an answer, and queries in that time, after which a member is removed: longer than
#: a restart and than a partition.
SILENT_SECONDS = 30.0
MIN_QUERIES = 3


class _Silence:
    """Since when a process has answered no query, and how many it got."""

    def __init__(self, incarnation: str, since: float) -> None:
        self.incarnation = incarnation
        self.since = since
        self.queries = 0


class MemberCleanup:
    """Queries the members one after the other during one term."""

    def __init__(
        self, context: OwnerContext, cell_state: CellState, links: PeerLinks, host: str
    ) -> None:
        """Query on behalf of ``host``, which is not removed."""
        self._owner_context = context
        self._cell_state = cell_state
        self._links = links
        self._host = host
        self._silence_by_host: dict[str, _Silence] = {}
        self._last_queried = ''
        self._last_regular = ''

    async def run(self) -> None:
        """Query members and remove silent ones until the term ends."""
        while True:
            await curio.sleep(QUERY_SECONDS)
            if not self._owner_context.pacing.is_late:
                await self.query_next_member()

    async def query_next_member(self) -> None:
        """Query one member, a silent one every second time, and remove it if it is gone."""
        host = self._choose_host()
        if not host:
            return
        self._last_queried = host
        member = self._cell_state.member_by_host[host]
        if await self._answers(member):
            self._silence_by_host.pop(host, None)
            return
        now = self._owner_context.clock.monotonic()
        silence = self._silence_by_host.get(host)
        if silence is None or silence.incarnation != member.incarnation:
            silence = self._silence_by_host[host] = _Silence(member.incarnation, now)
        silence.queries += 1
        if now - silence.since >= SILENT_SECONDS and silence.queries >= MIN_QUERIES:
            await self._remove(host, now - silence.since)

    def _choose_host(self) -> str:
        members = self._cell_state.member_by_host
        hosts = sorted(host for host in members if host != self._host)
        silent = [host for host in hosts if host in self._silence_by_host]
        others = [host for host in hosts if host not in self._silence_by_host]
        if silent and (not others or self._last_queried not in silent):
            return min(silent, key=lambda host: self._silence_by_host[host].queries)
        later = [host for host in others if host > self._last_regular]
        self._last_regular = next(iter(later or others), '')
        return self._last_regular

    async def _answers(self, member: Member) -> bool:
        try:
            # What the answer says does not matter.
            await self._links.request(member, OwnerAsked(''), ANSWER_TIMEOUT)
        except PeerError:
            return False
        return True

    async def _remove(self, host: str, silent_seconds: float) -> None:
        if not self._owner_context.may_start_tasks():
            # This host may be the one that is cut off.
            return
        self._silence_by_host.pop(host)
        outcome = await self._owner_context.writer.write(
            [make_tombstone(MEMBER_PREFIX + host)], ANSWER_TIMEOUT
        )
        self._owner_context.journal.log(
            Part.PEERS,
            f'removes {host} from the members, as it does not answer: {outcome.value}.',
            peer=host,
            seconds=round(silent_seconds, 1),
            epoch=self._owner_context.term.epoch,
        )
