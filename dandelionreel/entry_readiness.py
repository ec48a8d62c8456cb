"""The readiness endpoint of an entry host, by which the load balancer selects hosts."""

from collections.abc import Callable

from dandelionreel.cell.clients import LoadBalancerRotation, ReadinessInputs, find_unready_reason
from dandelionreel.cell.membership import PartitionDetector
from dandelionreel.cell.owner import Dispatcher
from dandelionreel.cell.store import ConfigurationProjection, Follower, GroupWriter
from dandelionreel.http import Request, Response
from dandelionreel.kernel import Clock, Journal, Part, seconds_or_none

HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class EntryReadiness:
    """Answers the readiness checks of the load balancer and logs changes."""

    def __init__(
        self,
        configuration: ConfigurationProjection,
        partition_detector: PartitionDetector,
        writer: GroupWriter,
        follower: Follower,
        get_dispatcher: Callable[[], Dispatcher | None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Determine readiness from these parts of the host."""
        self.rotation = LoadBalancerRotation()
        self._configuration = configuration
        self._partition_detector = partition_detector
        self._writer = writer
        self._follower = follower
        self._get_dispatcher = get_dispatcher
        self._clock = clock
        self._journal = journal
        self._stopping = False
        #: Why the host was not ready at the last check; empty if it was.
        self._last_reason = 'it is starting'

    def mark_stopping(self) -> None:
        """Report not ready from now on: the host is stopping."""
        self._stopping = True

    def is_unready(self) -> bool:
        """Return whether clients should currently use another host."""
        return bool(find_unready_reason(self._gather_readiness_inputs()))

    async def answer_check(self, request: Request) -> Response:
        """Answer one readiness check."""
        inputs = self._gather_readiness_inputs()
        reason = find_unready_reason(inputs)
        self._log_readiness_change(reason, inputs)
        self.rotation.record_readiness_check(self._clock.monotonic(), ready=not reason)
        return Response(HTTP_UNAVAILABLE if reason else HTTP_OK)

    def _log_readiness_change(self, reason: str, inputs: ReadinessInputs) -> None:
        if reason == self._last_reason:
            return
        self._last_reason = reason
        self._journal.log(
            Part.LIFE,
            f'asks for no clients: {reason}.' if reason else 'asks for clients.',
            store_age=seconds_or_none(inputs.store_age),
        )

    def _gather_readiness_inputs(self) -> ReadinessInputs:
        now = self._clock.monotonic()
        dispatcher = self._get_dispatcher()
        owner_store_is_failing = dispatcher is not None and dispatcher.store_is_failing
        return ReadinessInputs(
            stopping=self._stopping,
            configured=self._configuration.current is not None,
            cut_off=self._partition_detector.is_cut_off,
            store_is_failing=self._writer.store_is_failing(now) or owner_store_is_failing,
            store_age=self._follower.age(now),
        )
