"""Answers to peers that tell which jobs are complete, or ask for it."""

from typing import Any

from dandelionreel.cell.membership._completions import Completions
from dandelionreel.cell.membership._contact_watch import ContactWatch
from dandelionreel.peers import CompletionsTold, Done, Frame, Message, Refused


class CompletionAnswers:
    """Takes what peers tell, as far as it may be relied upon."""

    def __init__(self, completions: Completions, contact: ContactWatch) -> None:
        """Keep in ``completions`` what is taken."""
        self._completions = completions
        self._contact = contact

    async def merge_completions(self, frame: Frame) -> Message:
        """Take the word of an owner, unless a later one has asked."""
        told: Any = frame.message
        if self._completions.merge(told.epoch, told.jobs):
            return Done()
        return Refused('a later owner has asked')

    async def merge_zone_completions(self, frame: Frame) -> Message:
        """Take what a host of this zone has seen behind a cut, if this one is behind it too.

        Else an owner may have asked here already, and would not hear of it.
        """
        seen: Any = frame.message
        if not self._contact.may_serve_reads:
            return Refused('is not cut off')
        self._completions.note(seen.jobs)
        return Done()

    async def answer_wanted(self, frame: Frame) -> Message:
        """Tell an owner all that is known here; from then on it relies on the answer."""
        wanted: Any = frame.message
        self._contact.note_owner()
        return CompletionsTold(wanted.epoch, self._completions.answer(wanted.epoch))
