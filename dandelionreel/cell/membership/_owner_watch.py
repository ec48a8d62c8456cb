"""Notices at once that the owner's process has died, by a connection to it.

The kernel closes the connections of a process that is killed. A host that loses power closes none;
heartbeats in the store tell of that.
"""

from typing import Any

import curio

from dandelionreel.cell.membership._election import Election
from dandelionreel.cell.model import Member, Owner
from dandelionreel.cell.store import JobBook
from dandelionreel.http import connect
from dandelionreel.kernel import Journal, Part

#: Seconds between looks at who the owner is.
POLL_SECONDS = 0.2
CONNECT_TIMEOUT = 0.5
#: Seconds after which a silent connection is still held.
READ_TIMEOUT = 1.0
#: Refusals in a row that count as a death, and the pause between them.
REFUSALS_BEFORE_DEAD = 2
REFUSAL_RETRY_SECONDS = 0.04
READ_SIZE = 1024


class OwnerWatch:
    """Holds a connection to the owner's daemon."""

    def __init__(self, me: str, book: JobBook, election: Election, journal: Journal) -> None:
        """Tell ``election`` about the owner's death."""
        self._me = me
        self._book = book
        self._election = election
        self._journal = journal

    async def run(self) -> None:
        """Watch whoever is the owner, for ever."""
        while True:
            owner = self._book.owner
            member = None if owner is None else self._book.member_by_host.get(owner.host)
            if owner is None or member is None or owner.host == self._me or owner.released:
                await curio.sleep(POLL_SECONDS)
                continue
            if await self._is_dead(owner, member):
                self._journal.tell(
                    Part.OWNERSHIP,
                    f'nothing listens at {owner.host} any more.',
                    epoch=owner.epoch,
                )
                self._election.note_connection_refused(owner.term)
            await curio.sleep(POLL_SECONDS)

    async def _is_dead(self, owner: Owner, member: Member) -> bool:
        """Hold a connection while it lasts; return whether the next one is refused."""
        refusals = 0
        while refusals < REFUSALS_BEFORE_DEAD:
            if not self._still_owner(owner):
                return False
            try:
                async with curio.timeout_after(CONNECT_TIMEOUT):
                    sock = await connect(member.address, member.port, CONNECT_TIMEOUT)
            except ConnectionRefusedError:
                refusals += 1
                await curio.sleep(REFUSAL_RETRY_SECONDS)
                continue
            except (OSError, curio.TaskTimeout):
                return False
            refusals = 0
            await self._wait_until_closed(sock, owner)
        return True

    def _still_owner(self, owner: Owner) -> bool:
        newest = self._book.owner
        return newest is not None and newest.term == owner.term and not newest.released

    async def _wait_until_closed(self, sock: Any, owner: Owner) -> None:
        try:
            while self._still_owner(owner):
                if await curio.ignore_after(READ_TIMEOUT, sock.recv, READ_SIZE) is not None:
                    return
        except OSError:
            return
        finally:
            await sock.close()
