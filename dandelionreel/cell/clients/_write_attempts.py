"""Turns the attempts to store a client's record into one answer. No I/O.

A client relies on an answer that says that nothing was done, and submits its work again under
another id. So once an attempt may have stored the record, no refusal is passed on, whoever gives
it.
"""

from dataclasses import dataclass

from dandelionreel.cell.clients._client_call import STORE_UNAVAILABLE_CAUSE, unavailable_response
from dandelionreel.http import Response, problem_response
from dandelionreel.kernel import Problem, Verdict

HTTP_OK = 200
HTTP_REDIRECT = 300
HTTP_TIMEOUT = 504


@dataclass(frozen=True)
class AttemptResult:
    """What came of one attempt.

    ``attempted_by`` and ``outcome`` are for the log. ``response`` is that of a host that has
    decided the call; without one another way may be tried. ``in_doubt`` says that the record may
    have been stored although no response says so.
    """

    attempted_by: str
    outcome: str
    response: Response | None = None
    in_doubt: bool = False


class WriteAttempts:
    """The attempts of one call, made one after the other."""

    def __init__(self) -> None:
        """Start without any attempt."""
        #: The outcome of each attempt, for the log.
        self.outcomes: list[str] = []
        self.in_doubt = False
        self._attempted_by = ''
        self._response: Response | None = None

    def add(self, attempt: AttemptResult) -> None:
        """Add an attempt that was made because none before it had a response."""
        self.outcomes.append(f'{attempt.attempted_by}: {attempt.outcome}')
        self._attempted_by = attempt.attempted_by
        self.in_doubt = self.in_doubt or attempt.in_doubt
        self._response = attempt.response

    @property
    def is_decided(self) -> bool:
        """Return whether a host has decided the call, so that no other way is tried."""
        return self._response is not None

    @property
    def summary(self) -> str:
        """Return in a few words what the client is told."""
        response = self._passed_on_response()
        if response is not None:
            return f'{response.status} by {self._attempted_by}'
        return 'may be stored' if self.in_doubt else 'not stored'

    def make_answer(self, retry_after: float) -> Response:
        """Return the answer for the client, with the seconds after which it may retry."""
        response = self._passed_on_response()
        if response is not None:
            return response
        if self.in_doubt:
            detail = 'what was asked for may have been stored; ask for its state, or repeat it'
            return problem_response(Problem(Verdict.UNKNOWN, HTTP_TIMEOUT, 'store-silent', detail))
        detail = 'the store takes nothing just now; it was not accepted'
        return unavailable_response(STORE_UNAVAILABLE_CAUSE, detail, retry_after)

    def _passed_on_response(self) -> Response | None:
        """Return the response of the host that has decided the call, if it may be relied on."""
        if self._response is None or _is_success(self._response):
            return self._response
        return None if self.in_doubt else self._response


def _is_success(response: Response) -> bool:
    return HTTP_OK <= response.status < HTTP_REDIRECT
