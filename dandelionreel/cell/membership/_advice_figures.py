"""Figures on requests to the policy service, for log lines and metrics."""

import enum
from dataclasses import dataclass, field


class CallOutcome(enum.Enum):
    """How a call ended; the value is the label of the metric."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    #: Its answer came after the request had ended.
    UNUSED = 'unused'


@dataclass(frozen=True)
class AdviceTrace:
    """How a request was answered, or failed. All times are in seconds."""

    #: The host whose call ended the request.
    host: str
    #: Time from the submission of the request until its first call was sent.
    queued_seconds: float
    #: Time of the call that ended the request.
    call_seconds: float
    #: Number of calls sent for the request.
    calls: int = 1

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            'by': self.host,
            'queued': round(self.queued_seconds, 3),
            'took': round(self.call_seconds, 3),
            'calls': self.calls,
        }


@dataclass
class AdviceFigures:
    """Counts of one owner's term. All times are in seconds."""

    calls_by_outcome: dict[CallOutcome, int] = field(
        default_factory=lambda: dict.fromkeys(CallOutcome, 0)
    )
    overdue_calls: int = 0
    waiting: int = 0
    longest_queued_seconds: float = 0.0
    longest_call_seconds: float = 0.0

    def count_call(self, outcome: CallOutcome, trace: AdviceTrace) -> None:
        """Count a call that has ended."""
        self.calls_by_outcome[outcome] += 1
        self.longest_queued_seconds = max(self.longest_queued_seconds, trace.queued_seconds)
        self.longest_call_seconds = max(self.longest_call_seconds, trace.call_seconds)
