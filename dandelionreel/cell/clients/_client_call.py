"""One call of a client, and the answers that refuse it."""

from dataclasses import dataclass

from dandelionreel.accounts import Caller
from dandelionreel.http import Request, Response, problem_response
from dandelionreel.kernel import Problem, Verdict

#: Header with the time that the client waits for the response, in milliseconds.
DEADLINE_HEADER = 'x-deadline-ms'
#: Seconds that a client is assumed to wait if it sends no deadline, and the highest deadline that
#: counts.
DEFAULT_TIMEOUT_SECONDS = 3.0
#: Share of the client's time that is spent on its call, so that the response still reaches it.
TIMEOUT_SHARE = 0.85
#: Seconds after which a refused client may retry: by then the store usually serves this host again,
#: or the client reaches another host.
RETRY_AFTER_SECONDS = 1.0
HTTP_UNAVAILABLE = 503
MILLISECONDS_PER_SECOND = 1000
#: Header with the cause of a refusal, for the peer that forwarded the request.
CAUSE_HEADER = 'dandelionreel-cause'
STORE_UNAVAILABLE_CAUSE = 'store-out-of-reach'
OVERLOAD_CAUSE = 'overload'
DOUBT_CAUSE = 'submission-in-doubt'


@dataclass(frozen=True)
class ClientCall:
    """A call with its caller, and where and when it arrived.

    ``zone`` is that of the host that received it from the client, ``received_at`` is in
    monotonic seconds. ``relayed`` says that a peer has forwarded it. ``attempted_at`` is the Unix
    time at which the attempt to handle it began, by the clock of the host that received it from the
    client, 0 where a refusal for overload would not reach the client.
    """

    request: Request
    caller: Caller
    zone: str
    received_at: float
    relayed: bool
    attempted_at: float = 0.0

    @property
    def timeout(self) -> float:
        """Return the seconds from ``received_at`` within which the call must be answered."""
        text = self.request.header(DEADLINE_HEADER)
        timeout = (
            float(text) / MILLISECONDS_PER_SECOND if text.isdigit() else DEFAULT_TIMEOUT_SECONDS
        )
        return min(timeout, DEFAULT_TIMEOUT_SECONDS) * TIMEOUT_SHARE


def not_run_response(
    status: int,
    cause: str,
    detail: str,
    retry_after: float | None = None,
) -> Response:
    """Return the response to a call that has had no effect and will have none."""
    return problem_response(Problem(Verdict.NOT_RUN, status, cause, detail, retry_after))


def unavailable_response(
    cause: str, detail: str, retry_after: float = RETRY_AFTER_SECONDS
) -> Response:
    """Return the response that asks a client to retry; a forwarding peer may try another host."""
    response = not_run_response(HTTP_UNAVAILABLE, cause, detail, retry_after)
    return Response(response.status, (*response.headers, (CAUSE_HEADER, cause)), response.body)
