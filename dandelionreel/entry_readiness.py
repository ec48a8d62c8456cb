"""Whether an entry host asks the balancer for clients, and what it told it last."""

from collections.abc import Callable

from dandelionreel.cell.clients import ReadinessInputs, Rotation, find_unready_reason
from dandelionreel.cell.membership import PartitionDetector
from dandelionreel.cell.owner import Dispatcher
from dandelionreel.cell.store import ConfigurationFolder, Follower, GroupWriter
from dandelionreel.http import Answer, Request
from dandelionreel.kernel import Clock, Journal, Part, seconds_or_none

HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class EntryReadiness:
    """Answers the balancer."""

    def __init__(
        self,
        configuration: ConfigurationFolder,
        contact: PartitionDetector,
        writer: GroupWriter,
        follower: Follower,
        owned: Callable[[], Dispatcher | None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Judge by these parts of the host."""
        self.rotation = Rotation()
        self._configuration = configuration
        self._contact = contact
        self._writer = writer
        self._follower = follower
        self._owned = owned
        self._clock = clock
        self._journal = journal
        self._stopping = False
        #: Why clients are to go elsewhere, as the balancer was last told.
        self._told = 'it is starting'

    def stop(self) -> None:
        """Ask for no clients any more: the host is stopping."""
        self._stopping = True

    def is_hindered(self) -> bool:
        """Return whether clients should go elsewhere just now."""
        return bool(find_unready_reason(self._condition()))

    async def answer(self, request: Request) -> Answer:
        """Answer one question of the balancer."""
        condition = self._condition()
        hindrance = find_unready_reason(condition)
        self._tell(hindrance, condition)
        self.rotation.note_readiness_check(self._clock.monotonic(), ready=not hindrance)
        return Answer(HTTP_UNAVAILABLE if hindrance else HTTP_OK)

    def _tell(self, hindrance: str, condition: ReadinessInputs) -> None:
        if hindrance == self._told:
            return
        self._told = hindrance
        self._journal.tell(
            Part.LIFE,
            f'asks for no clients: {hindrance}.' if hindrance else 'asks for clients.',
            store_age=seconds_or_none(condition.store_age),
        )

    def _condition(self) -> ReadinessInputs:
        now = self._clock.monotonic()
        dispatcher = self._owned()
        owner_fails = dispatcher is not None and dispatcher.store_is_failing
        return ReadinessInputs(
            stopping=self._stopping,
            configured=self._configuration.current is not None,
            cut_off=self._contact.cut_off,
            store_takes_nothing=self._writer.in_trouble(now) or owner_fails,
            store_age=self._follower.age(now),
        )
