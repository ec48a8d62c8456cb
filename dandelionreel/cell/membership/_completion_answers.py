"""Answers to peers that tell which jobs are complete, or ask for it."""

from collections.abc import Awaitable, Callable
from typing import Any

from dandelionreel.cell.membership._completions import Completions
from dandelionreel.cell.membership._partition_detector import PartitionDetector
from dandelionreel.peers import CompletionsTold, Done, Frame, Message, Refused

#: Takes jobs as complete if this host owns the cell; returns whether it does.
CompleteAtOwner = Callable[[tuple[str, ...]], Awaitable[bool]]


class CompletionAnswers:
    """Takes what peers tell, as far as it may be relied upon."""

    def __init__(
        self,
        completions: Completions,
        partition_detector: PartitionDetector,
        complete_at_owner: CompleteAtOwner,
    ) -> None:
        """Keep in ``completions`` what is taken."""
        self._completions = completions
        self._partition_detector = partition_detector
        self._complete_at_owner = complete_at_owner

    async def merge_completions(self, frame: Frame) -> Message:
        """Take the word of an owner, unless a later one has asked."""
        told: Any = frame.message
        if self._completions.merge(told.epoch, told.jobs):
            return Done()
        return Refused('a later owner has asked')

    async def merge_zone_completions(self, frame: Frame) -> Message:
        """Take what a host has seen behind a cut, as the owner or behind the same cut.

        An owner may have asked any other host already, and would not hear of it. An owner
        behind the same cut is also a host that a later owner asks.
        """
        seen: Any = frame.message
        completed = await self._complete_at_owner(seen.jobs)
        if self._partition_detector.may_serve_reads:
            self._completions.note_zone_completions(seen.jobs)
            return Done()
        return Done() if completed else Refused('is not cut off')

    async def answer_query(self, frame: Frame) -> Message:
        """Tell an owner all that is known here; from then on it relies on the answer."""
        query: Any = frame.message
        self._partition_detector.note_owner_query()
        return CompletionsTold(query.epoch, self._completions.answer(query.epoch))
