"""Detects at once that the owner's process has died, by keeping a connection to it.

The kernel closes the connections of a process that is killed. A host that loses power closes none;
its loss shows in unanswered queries and in missing heartbeats in the store.
"""

from typing import Any

import curio

from dandelionreel.cell.membership._election import Election
from dandelionreel.cell.model import Member, Owner
from dandelionreel.cell.store import CellState
from dandelionreel.http import connect
from dandelionreel.kernel import Journal, Part

#: Seconds between checks of which host is the owner.
POLL_SECONDS = 0.2
CONNECT_TIMEOUT = 0.5
#: Seconds for one read of the idle connection, after which the owner is checked again.
READ_TIMEOUT = 1.0
#: Consecutive refused connections after which the process counts as dead, and the seconds between
#: them.
REFUSALS_BEFORE_DEAD = 2
REFUSAL_RETRY_SECONDS = 0.04
READ_SIZE = 1024


class OwnerWatch:
    """Keeps a connection to the owner's process and reports when it is refused."""

    def __init__(
        self, own_host: str, cell_state: CellState, election: Election, journal: Journal
    ) -> None:
        """Report refused connections to ``election``."""
        self._own_host = own_host
        self._cell_state = cell_state
        self._election = election
        self._journal = journal

    async def run(self) -> None:
        """Watch the current owner, forever."""
        while True:
            owner = self._cell_state.owner
            member = None if owner is None else self._cell_state.member_by_host.get(owner.host)
            if owner is None or member is None or owner.host == self._own_host or owner.released:
                await curio.sleep(POLL_SECONDS)
                continue
            if await self._is_owner_process_dead(owner, member):
                self._journal.log(
                    Part.OWNERSHIP,
                    f'{owner.host} refuses connections.',
                    epoch=owner.epoch,
                )
                self._election.record_connection_refused(owner.term)
            await curio.sleep(POLL_SECONDS)

    async def _is_owner_process_dead(self, owner: Owner, member: Member) -> bool:
        """Keep a connection open; once it closes, return whether new ones are refused."""
        refusals = 0
        while refusals < REFUSALS_BEFORE_DEAD:
            if not self._is_current_owner(owner):
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

    def _is_current_owner(self, owner: Owner) -> bool:
        newest = self._cell_state.owner
        return newest is not None and newest.term == owner.term and not newest.released

    async def _wait_until_closed(self, sock: Any, owner: Owner) -> None:
        try:
            while self._is_current_owner(owner):
                if await curio.ignore_after(READ_TIMEOUT, sock.recv, READ_SIZE) is not None:
                    return
        except OSError:
            return
        finally:
            await sock.close()
