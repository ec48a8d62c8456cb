"""Handles peer messages that report completed jobs or query them."""

from collections.abc import Awaitable, Callable
from typing import Any

from dandelionreel.cell.membership._completions import Completions
from dandelionreel.cell.membership._partition_detector import PartitionDetector
from dandelionreel.peers import CompletionsTold, Done, Frame, Message, Refused

#: Marks jobs as complete if this host owns the cell; returns whether it does.
CompleteAtOwner = Callable[[tuple[str, ...]], Awaitable[bool]]


class CompletionMessageHandler:
    """Adds completed jobs from peers that may report them, and answers queries of owners."""

    def __init__(
        self,
        completions: Completions,
        partition_detector: PartitionDetector,
        complete_at_owner: CompleteAtOwner,
    ) -> None:
        """Add accepted jobs to ``completions``."""
        self._completions = completions
        self._partition_detector = partition_detector
        self._complete_at_owner = complete_at_owner

    async def merge_completions(self, frame: Frame) -> Message:
        """Add jobs that an owner reports as complete, unless a later owner has sent a query."""
        report: Any = frame.message
        if self._completions.merge_owner_report(report.epoch, report.jobs):
            return Done()
        return Refused('a later owner has asked')

    async def merge_zone_completions(self, frame: Frame) -> Message:
        """Add jobs that a host of a partitioned zone found complete.

        Only the owner and hosts inside the same partition accept them: an owner may already have
        queried any other host and would not learn of them. An owner inside the same partition
        keeps them as well, since a later owner will query it.
        """
        report: Any = frame.message
        completed = await self._complete_at_owner(report.jobs)
        if self._partition_detector.may_answer_reads:
            self._completions.add_zone_completions(report.jobs)
            return Done()
        return Done() if completed else Refused('is not cut off')

    async def answer_query(self, frame: Frame) -> Message:
        """Return all completed jobs to an owner, which relies on that answer from then on."""
        query: Any = frame.message
        self._partition_detector.record_owner_query()
        return CompletionsTold(query.epoch, self._completions.list_for_owner(query.epoch))
