"""Tells peers which jobs are complete while the store is away or slow, and asks what they know."""

from collections.abc import Iterable
from functools import partial

import curio

from dandelionreel.cell.membership import SUCCESSORS, Completions, PeerLinks, rank_hosts
from dandelionreel.cell.model import Member
from dandelionreel.cell.owner._owner_context import OwnerContext
from dandelionreel.cell.store import JobBook
from dandelionreel.kernel import Part
from dandelionreel.peers import CompletionsTold, CompletionsWanted, Done, PeerError

#: Seconds that the store may take to learn of an end before peers are told: several times
#: what it usually takes.
STORE_SECONDS = 0.04
#: Seconds for a peer's answer, which takes 2 ms, or a tenth of a second in a burst.
ANSWER_SECONDS = 0.25
#: Jobs that one line names: at 20 bytes each it stays within 2 KB.
MOST_NAMED = 80
IDLE_SECONDS = 1.0


class CompletionGossip:
    """What an owner and its peers tell each other of complete jobs during one term."""

    def __init__(
        self,
        context: OwnerContext,
        book: JobBook,
        links: PeerLinks,
        completions: Completions,
        host: str,
    ) -> None:
        """Speak for ``host``; keep in ``completions`` what clients may be told."""
        self._owner_context = context
        self._book = book
        self._links = links
        self._completions = completions
        self._host = host
        self._told: set[str] = set()

    async def run(self) -> None:
        """Tell peers of each job that the store is too slow to learn of, for ever."""
        while True:
            seen = self._owner_context.completed.count
            await curio.sleep(STORE_SECONDS)
            unstored = set(self._owner_context.unstored_complete)
            self._told &= unstored
            fresh = tuple(sorted(unstored - self._told))
            if fresh:
                self._told.update(fresh)
                await self._tell(fresh)
            await self._owner_context.completed.wait(seen, IDLE_SECONDS)

    def begin(self) -> None:
        """Leave jobs that had begun alone until peers have been asked."""
        self._owner_context.cell.awaits_completions = True

    async def ask(self) -> None:
        """Take what peers were told by the owners before."""
        term = self._owner_context.term
        known = self._completions.answer(term.epoch)
        self._owner_context.cell.take_complete(known)
        await self.ask_all(self._peers())
        self._owner_context.cell.awaits_completions = False
        await self._owner_context.wake.notify()

    async def ask_all(self, peers: Iterable[tuple[str, Member]]) -> bool:
        """Take what peers know, asked at the same time; return whether any has answered."""
        asks = [await curio.spawn(self._ask, host, member, daemon=True) for host, member in peers]
        for task in asks:
            await task.wait()
        return any(task.result for task in asks)

    def _peers(self) -> list[tuple[str, Member]]:
        """Return the hosts that would own the cell next."""
        members = self._book.member_by_host
        first = [host for host in rank_hosts(members) if host != self._host][:SUCCESSORS]
        return [(host, members[host]) for host in first]

    async def _tell(self, jobs: tuple[str, ...]) -> None:
        """Tell all peers at once; clients may be told as soon as one has taken the word."""
        message = CompletionsTold(self._owner_context.term.epoch, jobs)
        for host, member in self._peers():
            await curio.spawn(partial(self._tell_one, host, member, message), daemon=True)

    async def _tell_one(self, host: str, member: Member, message: CompletionsTold) -> None:
        try:
            frame = await self._links.ask(member, message, ANSWER_SECONDS)
        except PeerError:
            # The store's answer shows the jobs at last; a silent peer has lines of its own.
            return
        if isinstance(frame.message, Done):
            self._show(host, message.jobs)

    def _show(self, host: str, jobs: Iterable[str]) -> None:
        fresh = [job for job in jobs if not self._completions.contains(job)]
        self._completions.note(fresh)
        if fresh:
            self._owner_context.journal.tell_frequent(
                Part.JOBS,
                'shown as complete before the store knows it.',
                jobs=fresh[:MOST_NAMED],
                count=len(fresh),
                peer=host,
                epoch=self._owner_context.term.epoch,
                store_age=round(
                    self._owner_context.clock.monotonic() - self._owner_context.writer.stored_at, 3
                ),
            )

    async def _ask(self, host: str, member: Member) -> bool:
        wanted = CompletionsWanted(self._owner_context.term.epoch)
        try:
            frame = await self._links.ask(member, wanted, ANSWER_SECONDS)
        except PeerError as error:
            self._owner_context.journal.tell(
                Part.OWNERSHIP, f'{host} does not tell which jobs are complete: {error}.'
            )
            return False
        told = frame.message
        if not isinstance(told, CompletionsTold):
            return False
        self._completions.note(told.jobs)
        taken = self._owner_context.cell.take_complete(told.jobs)
        if taken:
            self._owner_context.journal.tell(
                Part.JOBS,
                f'{host} knows jobs to be complete that the store does not.',
                jobs=taken[:MOST_NAMED],
                count=len(taken),
                epoch=self._owner_context.term.epoch,
            )
        return True
