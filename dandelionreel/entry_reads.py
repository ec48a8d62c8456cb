"""What an entry host reads from the store, and how often."""

from collections.abc import Callable

from dandelionreel.cell.membership import follows_runner_list
from dandelionreel.cell.model import UnreadableLog
from dandelionreel.cell.store import ConfigurationFolder, Folder, Follower, JobFolder, RunnersFolder
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.platform import (
    CELL_TOPIC,
    OPERATOR_TOPIC,
    RUNNERS_TOPIC,
    Address,
    JsonRecordCodec,
    StoreTopic,
)

#: Seconds that a read waits at the store for news. The owner's heartbeats end
#: most reads of the cell's topic sooner.
CELL_WAIT = 0.5
OPERATOR_WAIT = 2.0
RUNNERS_WAIT = 1.0
#: Seconds in which records are gathered into one read at the owner: of the
#: cell's records, most of them its own, and of the runners' heartbeats.
OWNER_CELL_PAUSE = 0.15
OWNER_RUNNERS_PAUSE = 0.2
#: The same on the other hosts. There a client that asks for a job that is not over ends the pause.
CELL_PAUSE = 0.25
RUNNERS_PAUSE = 2.0
OPERATOR_PAUSE = 0.1

NoteUnreadable = Callable[[str, str], None]


class EntryReads:
    """Topics, what is folded from them, and the followers that keep it up to date."""

    def __init__(
        self,
        host: str,
        store: Address,
        owns: Callable[[], bool],
        note_unreadable: NoteUnreadable,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Read for ``host``; ``owns()`` tells whether it owns the cell."""
        self._host = host
        self._owns = owns
        self._note_unreadable = note_unreadable
        self._clock = clock
        self._journal = journal
        codec = JsonRecordCodec()
        self.topics = {
            name: StoreTopic(name, store) for name in (CELL_TOPIC, OPERATOR_TOPIC, RUNNERS_TOPIC)
        }
        self.configuration = ConfigurationFolder(
            codec,
            journal,
            self._watch_unreadable('operator', Part.CONTRACTS),
        )
        self.runners = RunnersFolder(
            codec,
            clock,
            journal,
            self.configuration.names_service,
            self._watch_unreadable('runners', Part.WORKERS),
        )
        self.jobs = JobFolder(clock, journal, self._watch_unreadable('cell', Part.LOG))
        self.cell_follower = self._follow('cell', CELL_TOPIC, self.jobs, CELL_WAIT)
        self.runners_follower = self._follow('runners', RUNNERS_TOPIC, self.runners, RUNNERS_WAIT)
        self.followers = (
            self.cell_follower,
            self._follow('operator', OPERATOR_TOPIC, self.configuration, OPERATOR_WAIT),
            self.runners_follower,
        )

    @property
    def answered_at(self) -> float:
        """Return when the store last answered a read, in monotonic seconds."""
        return max(follower.answered_at for follower in self.followers)

    @property
    def complete(self) -> bool:
        """Return whether all that is wanted has been read, and the store answers."""
        return all(one.resting or (one.complete and one.reached) for one in self.followers)

    @property
    def started(self) -> bool:
        """Return whether a first snapshot of all that is wanted has been read."""
        return all(one.started or one.resting for one in self.followers)

    def _follow(self, name: str, topic: str, folder: Folder, wait: float) -> Follower:
        return Follower(
            name,
            self.topics[topic],
            folder,
            self._clock,
            self._journal,
            wait,
            lambda: self._pause(topic),
            lambda: topic != RUNNERS_TOPIC or self._wants_runners(),
        )

    def _wants_runners(self) -> bool:
        return self._owns() or follows_runner_list(self.jobs.book.member_by_host, self._host)

    def _watch_unreadable(self, topic: str, part: Part) -> UnreadableLog:
        return UnreadableLog(topic, part, self._clock, self._journal, self._note_unreadable)

    def _pause(self, topic: str) -> float:
        if topic == OPERATOR_TOPIC:
            return OPERATOR_PAUSE
        if self._owns():
            return OWNER_CELL_PAUSE if topic == CELL_TOPIC else OWNER_RUNNERS_PAUSE
        return CELL_PAUSE if topic == CELL_TOPIC else RUNNERS_PAUSE
