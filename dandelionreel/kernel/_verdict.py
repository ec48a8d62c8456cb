"""Request errors that state whether the request may have been executed."""

import enum
from dataclasses import dataclass


class Verdict(enum.Enum):
    """Whether a request was executed, as far as is known."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclass(frozen=True)
class Problem:
    """Why a request failed, as a text and as a stable cause code.

    ``status`` is an HTTP status; ``retry_after`` is in seconds, ``None`` if a retry
    does not help.
    """

    verdict: Verdict
    status: int
    cause: str
    detail: str
    retry_after: float | None = None


class RequestError(Exception):
    """A request failed; ``problem`` has the details."""

    def __init__(self, problem: Problem) -> None:
        """Use the detail of ``problem`` as the message."""
        super().__init__(problem.detail)
        self.problem = problem


def not_run_error(
    status: int,
    cause: str,
    detail: str,
    retry_after: float | None = None,
) -> RequestError:
    """Return an error for a request that was certainly not executed."""
    return RequestError(Problem(Verdict.NOT_RUN, status, cause, detail, retry_after))


def outcome_unknown_error(status: int, cause: str, detail: str) -> RequestError:
    """Return an error for a request that may or may not have been executed."""
    return RequestError(Problem(Verdict.UNKNOWN, status, cause, detail))
