"""Keeps this host's member record in the store, and deletes it when the host leaves.

Peers choose by these records which of them own the cell, write for a zone or are queried. A record
may disappear or be replaced while its host lives: the owner removes members that do not answer it,
and an append of an earlier process may be carried out late. So the record is written again
whenever the newest one is not of this process.
"""

import curio

from dandelionreel.cell.model import MEMBER_PREFIX, Member, make_record, make_tombstone
from dandelionreel.cell.store import CellState, GroupWriter, WriteOutcome
from dandelionreel.kernel import Journal, Part

#: Seconds between checks of the record: several times the time until a write is read back.
CHECK_SECONDS = 2.0
#: Seconds before a failed write is repeated.
RETRY_SECONDS = 0.1
WRITE_TIMEOUT = 5.0
#: Timeout in seconds of the deletion by a host that is shutting down.
LEAVE_TIMEOUT = 1.0


class MemberRecord:
    """Writes, checks and deletes the member record of one process."""

    def __init__(
        self,
        host: str,
        member: Member,
        cell_state: CellState,
        writer: GroupWriter,
        journal: Journal,
    ) -> None:
        """Publish ``member`` as the record of ``host``; ``cell_state`` has the newest records."""
        self._host = host
        self._member = member
        self._cell_state = cell_state
        self._writer = writer
        self._journal = journal
        self._leaving = False

    async def run(self) -> None:
        """Keep the record until the host leaves."""
        while not self._leaving:
            is_stored = await self.write_if_missing()
            await curio.sleep(CHECK_SECONDS if is_stored else RETRY_SECONDS)

    async def write_if_missing(self) -> bool:
        """Write the record unless the newest one is of this process; return ``False`` to retry."""
        known = self._cell_state.member_by_host.get(self._host)
        if self._leaving or (known is not None and known.incarnation == self._member.incarnation):
            return True
        record = make_record(MEMBER_PREFIX + self._host, self._member)
        outcome = await self._writer.write([record], WRITE_TIMEOUT)
        self._journal.log(
            Part.PEERS,
            f'publishes its member record: {outcome.value}.',
            replaced='' if known is None else known.incarnation,
        )
        return outcome is WriteOutcome.STORED

    async def delete(self) -> None:
        """Delete the record, so that no peer relies on this host any more."""
        self._leaving = True
        tombstone = make_tombstone(MEMBER_PREFIX + self._host)
        outcome = await self._writer.write([tombstone], LEAVE_TIMEOUT)
        if outcome is not WriteOutcome.STORED:
            # The owner removes the record once this host does not answer any more.
            self._journal.log(Part.PEERS, f'has not deleted its member record: {outcome.value}.')
