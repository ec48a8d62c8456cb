"""The topics that an entry host follows, and how often it reads them."""

from collections.abc import Callable

from dandelionreel.cell.membership import is_successor
from dandelionreel.cell.model import Topic, UnreadableLog
from dandelionreel.cell.store import (
    CellProjection,
    ConfigurationProjection,
    Follower,
    InterruptibleTopic,
    Projection,
    RunnerProjection,
)
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.platform import (
    CELL_TOPIC,
    OPERATOR_TOPIC,
    READ_TIMEOUT,
    RUNNERS_TOPIC,
    Address,
    JsonRecordCodec,
    StoreTopic,
)

#: Seconds that a read waits at the store for new records. The owner's heartbeats end most
#: reads of the cell's topic sooner.
CELL_WAIT_SECONDS = 0.5
MAX_OPERATOR_WAIT_SECONDS = 2.0
MIN_OPERATOR_WAIT_SECONDS = 0.2
RUNNERS_WAIT_SECONDS = 1.0
#: Seconds between reads at the owner, in which records are collected: the cell's records, most
#: of them its own, and the runners' heartbeats.
OWNER_CELL_PAUSE_SECONDS = 0.15
OWNER_RUNNERS_PAUSE_SECONDS = 0.2
#: Seconds between reads at other hosts, where a client request for an unfinished job ends the
#: pause.
CELL_PAUSE_SECONDS = 0.25
RUNNERS_PAUSE_SECONDS = 2.0
OPERATOR_PAUSE_SECONDS = 0.1
#: Seconds for the next read of the operator's topic where one got no answer.
OPERATOR_REREAD_SECONDS = 0.5

CountUnreadable = Callable[[str, str], None]


def compute_operator_wait(configuration_deadline: float) -> float:
    """Return for how many seconds a read of the operator's topic may wait at the store.

    Load pattern: an open connection goes silent, and the configuration changes. The read is given
    up soon enough for the next one to bring the change before the deadline.
    """
    wait = configuration_deadline - READ_TIMEOUT - OPERATOR_REREAD_SECONDS
    return min(MAX_OPERATOR_WAIT_SECONDS, max(MIN_OPERATOR_WAIT_SECONDS, wait))


class EntryReads:
    """Topics, their projections, and the followers that keep these up to date."""

    def __init__(
        self,
        host: str,
        store: Address,
        configuration_deadline: float,
        owns_cell: Callable[[], bool],
        count_unreadable: CountUnreadable,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Read for ``host``; ``owns_cell()`` returns whether it owns the cell.

        A new configuration is in force ``configuration_deadline`` seconds after its
        acknowledgement, even if one read of the operator's topic is never answered.
        """
        self._host = host
        self._owns_cell = owns_cell
        self._count_unreadable = count_unreadable
        self._clock = clock
        self._journal = journal
        codec = JsonRecordCodec()
        operator_topic = InterruptibleTopic(StoreTopic(OPERATOR_TOPIC, store))
        self.topics: dict[str, Topic] = {
            CELL_TOPIC: StoreTopic(CELL_TOPIC, store),
            OPERATOR_TOPIC: operator_topic,
            RUNNERS_TOPIC: StoreTopic(RUNNERS_TOPIC, store),
        }
        self.configuration = ConfigurationProjection(
            codec,
            journal,
            self._make_unreadable_log('operator', Part.CONTRACTS),
            lambda: self.operator_follower.age(clock.monotonic()),
        )
        self.runners = RunnerProjection(
            codec,
            clock,
            journal,
            self.configuration.has_service,
            self._make_unreadable_log('runners', Part.WORKERS),
        )
        self.cell = CellProjection(clock, journal, self._make_unreadable_log('cell', Part.LOG))
        self.cell_follower = self._make_follower('cell', CELL_TOPIC, self.cell, CELL_WAIT_SECONDS)
        self.runners_follower = self._make_follower(
            'runners', RUNNERS_TOPIC, self.runners, RUNNERS_WAIT_SECONDS
        )
        self.operator_follower = Follower(
            'operator',
            operator_topic,
            self.configuration,
            clock,
            journal,
            compute_operator_wait(configuration_deadline),
            lambda: OPERATOR_PAUSE_SECONDS,
            skips_backlog=True,
            interrupt_read=operator_topic.interrupt_read,
        )
        self.followers = (self.cell_follower, self.operator_follower, self.runners_follower)

    @property
    def answered_at(self) -> float:
        """Return when the store last answered a read, in monotonic seconds."""
        return max(follower.answered_at for follower in self.followers)

    @property
    def received_at(self) -> float:
        """Return when bytes of the store last arrived, of complete answers or not."""
        return max(topic.received_at for topic in self.topics.values())

    def configuration_current_at(self, now: float) -> float:
        """Return until when the store has certainly shown this host the newest configuration."""
        return min(self.answered_at, self.operator_follower.current_at(now))

    @property
    def has_reached_ends(self) -> bool:
        """Return whether all needed topics have been read to the end, and the store answers."""
        return all(
            follower.suspended or (follower.has_reached_end and follower.is_store_reachable)
            for follower in self.followers
        )

    @property
    def has_snapshots(self) -> bool:
        """Return whether the first snapshots of all needed topics have been read."""
        return all(follower.has_snapshot or follower.suspended for follower in self.followers)

    def _make_follower(
        self, name: str, topic: str, projection: Projection, max_wait: float
    ) -> Follower:
        return Follower(
            name,
            self.topics[topic],
            projection,
            self._clock,
            self._journal,
            max_wait,
            lambda: self._pause_seconds(topic),
            lambda: topic != RUNNERS_TOPIC or self._needs_runner_list(),
        )

    def _needs_runner_list(self) -> bool:
        return self._owns_cell() or is_successor(self.cell.state.member_by_host, self._host)

    def _make_unreadable_log(self, topic: str, part: Part) -> UnreadableLog:
        return UnreadableLog(topic, part, self._clock, self._journal, self._count_unreadable)

    def _pause_seconds(self, topic: str) -> float:
        if self._owns_cell():
            return OWNER_CELL_PAUSE_SECONDS if topic == CELL_TOPIC else OWNER_RUNNERS_PAUSE_SECONDS
        return CELL_PAUSE_SECONDS if topic == CELL_TOPIC else RUNNERS_PAUSE_SECONDS
