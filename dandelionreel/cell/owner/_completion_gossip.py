"""Exchanges completed jobs with peers while the store is unavailable or slow."""

from collections.abc import Iterable
from functools import partial

import curio

from dandelionreel.cell.membership import SUCCESSOR_COUNT, Completions, PeerLinks, rank_hosts
from dandelionreel.cell.model import Member
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import CellState
from dandelionreel.kernel import Part
from dandelionreel.peers import CompletionsTold, CompletionsWanted, Done, PeerError

#: Seconds that storing a completion may take before it is sent to peers as well: several times the
#: usual duration of an append.
STORE_DELAY_SECONDS = 0.04
#: Timeout in seconds of a peer's answer, which takes 2 ms, or a tenth of a second in a burst.
ANSWER_TIMEOUT = 0.25
#: Maximum number of jobs in one log line: at 20 bytes each it stays within 2 KB.
MAX_LOGGED = 80
#: Maximum seconds between two checks for unstored completions.
IDLE_SECONDS = 1.0


class CompletionGossip:
    """Sends completed jobs to peers and queries theirs, during one term."""

    def __init__(
        self,
        context: OwnerContext,
        cell_state: CellState,
        links: PeerLinks,
        completions: Completions,
        host: str,
    ) -> None:
        """Exchange messages as ``host``.

        ``completions`` collects the jobs that may be shown as complete.
        """
        self._owner_context = context
        self._cell_state = cell_state
        self._links = links
        self._completions = completions
        self._host = host
        self._announced_jobs: set[str] = set()

    async def run(self) -> None:
        """Send peers each completed job that the store is slow to record; runs until cancelled."""
        while True:
            seen = self._owner_context.completions_changed.count
            # An owner that is late stores late too; its messages to peers would delay it more.
            await curio.sleep(self._owner_context.pacing.extend_timeout(STORE_DELAY_SECONDS))
            unstored = set(self._owner_context.unstored_completions)
            self._announced_jobs &= unstored
            new_jobs = tuple(sorted(unstored - self._announced_jobs))
            if new_jobs:
                self._announced_jobs.update(new_jobs)
                await self._announce_completions(new_jobs)
            await self._owner_context.completions_changed.wait(seen, IDLE_SECONDS)

    def block_started_jobs(self) -> None:
        """Start no more tasks of started jobs until ``query_successors`` has queried the peers.

        A peer may know that such a job is complete, from an earlier owner.
        """
        self._owner_context.cell.awaits_completions = True

    async def query_successors(self) -> None:
        """Fetch the completions that earlier owners sent to peers, then unblock started jobs."""
        term = self._owner_context.term
        known = self._completions.list_for_owner(term.epoch)
        self._owner_context.cell.mark_jobs_complete(known)
        await self.query_peers(self._list_successors())
        self._owner_context.cell.awaits_completions = False
        await self._owner_context.plan_needed.notify()

    async def query_peers(self, peers: Iterable[tuple[str, Member]]) -> bool:
        """Query peers concurrently and apply their completions; return whether any answered."""
        queries = [
            await curio.spawn(self._query_peer, host, member, daemon=True) for host, member in peers
        ]
        for task in queries:
            await task.wait()
        return any(task.result for task in queries)

    def _list_successors(self) -> list[tuple[str, Member]]:
        """Return the hosts that are next in line to own the cell."""
        members = self._cell_state.member_by_host
        first = [host for host in rank_hosts(members) if host != self._host][:SUCCESSOR_COUNT]
        return [(host, members[host]) for host in first]

    async def _announce_completions(self, jobs: tuple[str, ...]) -> None:
        """Send completions to all successors; clients may be informed after one acknowledgement."""
        message = CompletionsTold(self._owner_context.term.epoch, jobs)
        for host, member in self._list_successors():
            await curio.spawn(
                partial(self._announce_completions_to, host, member, message), daemon=True
            )

    async def _announce_completions_to(
        self, host: str, member: Member, message: CompletionsTold
    ) -> None:
        try:
            frame = await self._links.request(member, message, ANSWER_TIMEOUT)
        except PeerError:
            # The jobs are shown once the store answers; silent peers are logged elsewhere.
            return
        if isinstance(frame.message, Done):
            self._add_announced_completions(host, message.jobs)

    def _add_announced_completions(self, host: str, jobs: Iterable[str]) -> None:
        new_jobs = [job for job in jobs if not self._completions.contains(job)]
        self._completions.add(new_jobs)
        if new_jobs:
            self._owner_context.journal.log_sampled(
                Part.JOBS,
                'shown as complete before the store knows it.',
                jobs=new_jobs[:MAX_LOGGED],
                count=len(new_jobs),
                peer=host,
                epoch=self._owner_context.term.epoch,
                store_age=round(
                    self._owner_context.clock.monotonic() - self._owner_context.writer.stored_at, 3
                ),
            )

    async def _query_peer(self, host: str, member: Member) -> bool:
        query = CompletionsWanted(self._owner_context.term.epoch)
        try:
            frame = await self._links.request(member, query, ANSWER_TIMEOUT)
        except PeerError as error:
            self._owner_context.journal.log(
                Part.OWNERSHIP, f'{host} has not reported its completed jobs: {error}.'
            )
            return False
        reply = frame.message
        if not isinstance(reply, CompletionsTold):
            return False
        self._completions.add(reply.jobs)
        completed = self._owner_context.cell.mark_jobs_complete(reply.jobs)
        if completed:
            self._owner_context.journal.log(
                Part.JOBS,
                f'{host} reports completed jobs that are not completed in the store.',
                jobs=completed[:MAX_LOGGED],
                count=len(completed),
                epoch=self._owner_context.term.epoch,
            )
        return True
