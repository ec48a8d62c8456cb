"""One call of a client, as all parts that serve it see it."""

from dataclasses import dataclass

from dandelionreel.accounts import Caller
from dandelionreel.http import Answer, Request, answer_problem
from dandelionreel.kernel import Problem, Verdict

#: How long a client waits at most, in milliseconds.
DEADLINE_HEADER = 'x-deadline-ms'
#: Seconds that a client is taken to wait when it does not say so, and at most.
DEFAULT_TIMEOUT_SECONDS = 3.0
#: Share of a client's time that is spent on its call, so that it still hears the answer.
TIMEOUT_SHARE = 0.85
#: Seconds after which a refused client may come back: a store that turned this host away
#: is usually back, or another host reaches it.
RETRY_AFTER_SECONDS = 1.0
HTTP_UNAVAILABLE = 503
MILLISECONDS = 1000
#: Why a request was refused, for the peer that passed it on.
CAUSE_HEADER = 'dandelionreel-cause'
STORE_UNAVAILABLE_CAUSE = 'store-out-of-reach'


@dataclass(frozen=True)
class ClientCall:
    """A call, whose it is, and where and when it came in.

    ``zone`` is that of the host which took it from its client, ``began`` in monotonic
    seconds. ``relayed`` says that a peer has passed it on.
    """

    request: Request
    caller: Caller
    zone: str
    began: float
    relayed: bool

    @property
    def timeout(self) -> float:
        """Return for how many seconds from ``began`` on the call is worth an effort."""
        text = self.request.header(DEADLINE_HEADER)
        timeout = float(text) / MILLISECONDS if text.isdigit() else DEFAULT_TIMEOUT_SECONDS
        return min(timeout, DEFAULT_TIMEOUT_SECONDS) * TIMEOUT_SHARE


def answer_not_run(
    status: int,
    cause: str,
    detail: str,
    retry_after: float | None = None,
) -> Answer:
    """Return the answer to a call that had no effect and will have none."""
    return answer_problem(Problem(Verdict.NOT_RUN, status, cause, detail, retry_after))


def refuse(cause: str, detail: str, retry_after: float = RETRY_AFTER_SECONDS) -> Answer:
    """Return the answer that asks a client to come back; a peer may try another host."""
    answer = answer_not_run(HTTP_UNAVAILABLE, cause, detail, retry_after)
    return Answer(answer.status, (*answer.headers, (CAUSE_HEADER, cause)), answer.body)
