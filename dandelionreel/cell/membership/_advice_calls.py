"""Requests to the policy service that have not ended, and their calls. No I/O."""

from dataclasses import dataclass, field

from dandelionreel.cell.decisions import AdviceRequest
from dandelionreel.cell.membership._advice_figures import AdviceTrace

#: A call is overdue ``OVERDUE_FACTOR`` times the announced duration plus
#: ``OVERDUE_MARGIN_SECONDS`` (for messages between hosts) after it was sent.
OVERDUE_FACTOR = 1.2
OVERDUE_MARGIN_SECONDS = 0.1
#: A call times out after ``TIMEOUT_FACTOR`` times the announced duration plus
#: ``TIMEOUT_MARGIN_SECONDS``: it may wait in the service for an earlier call of its host.
TIMEOUT_FACTOR = 2.0
TIMEOUT_MARGIN_SECONDS = 0.4


@dataclass(eq=False)
class OpenRequest:
    """A request that has not ended. All times are in seconds."""

    request: AdviceRequest
    sequence: int
    submitted_at: float
    sent_at: float
    tried_hosts: set[str] = field(default_factory=set)
    calls_in_progress: list['Call'] = field(default_factory=list)
    ended: bool = False
    #: The call that failed last.
    trace: AdviceTrace = AdviceTrace('', 0, 0, calls=0)

    @property
    def urgent(self) -> bool:
        """Return whether hosts are reserved for such requests."""
        return self.request.priority == 0

    @property
    def awaits_timely_call(self) -> bool:
        """Return whether a call is in progress that is not overdue."""
        return any(not call.overdue for call in self.calls_in_progress)

    @property
    def position(self) -> tuple[int, int]:
        """Return the sort key of the queue."""
        return self.request.priority, self.sequence

    @property
    def expected_seconds(self) -> float:
        """Return the announced duration of a call."""
        advice = self.request.advice
        return advice.decision_seconds + advice.seconds_per_runner * len(self.request.runners)

    @property
    def overdue_seconds(self) -> float:
        """Return the duration from which on a call is overdue."""
        return self.expected_seconds * OVERDUE_FACTOR + OVERDUE_MARGIN_SECONDS

    @property
    def timeout(self) -> float:
        """Return the duration after which a call is given up."""
        return self.expected_seconds * TIMEOUT_FACTOR + TIMEOUT_MARGIN_SECONDS


@dataclass(eq=False)
class Call:
    """A call to the policy service through one host."""

    open_request: OpenRequest
    host: str
    #: Monotonic seconds.
    started_at: float
    #: Whether an earlier call for the same request was in progress.
    additional: bool
    in_progress: bool = True
    overdue: bool = False

    def make_trace(self, now: float) -> AdviceTrace:
        """Return how the call ended ``now``."""
        open_request = self.open_request
        return AdviceTrace(
            self.host,
            open_request.sent_at - open_request.submitted_at,
            now - self.started_at,
            len(open_request.tried_hosts),
        )
