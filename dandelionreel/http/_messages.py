"""HTTP requests and responses with their complete bodies."""

from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

import msgspec

from dandelionreel.kernel import Problem

JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'
#: Prefix of the ``type`` of every problem that this project defines.
PROBLEM_URN = 'urn:dandelionreel:'
VERDICT_HEADER = 'dandelionreel-verdict'

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Request:
    """A request with its complete body; header names are in lower case."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return urlsplit(self.target).path

    @property
    def query_by_name(self) -> dict[str, str]:
        """Return the query parameters; the last one wins if a name is repeated."""
        return dict(parse_qsl(urlsplit(self.target).query))

    def header(self, name: str, default: str = '') -> str:
        """Return the first header with that lower-case name, else ``default``."""
        for known, text in self.headers:
            if known == name:
                return text
        return default


@dataclass(frozen=True)
class Response:
    """A response with its complete body; header names are in lower case."""

    status: int
    headers: Headers = field(default=())
    body: bytes = b''

    def header(self, name: str, default: str = '') -> str:
        """Return the first header with that lower-case name, else ``default``."""
        for known, text in self.headers:
            if known == name:
                return text
        return default


class ProblemDocument(msgspec.Struct, frozen=True):
    """The JSON body of an error response, as defined by RFC 9457."""

    type: str
    title: str
    status: int
    detail: str
    verdict: str
    retry_after: float | None = None


def json_response(body: object, status: int = 200, headers: Headers = ()) -> Response:
    """Return a response with a JSON body."""
    typed = (('content-type', JSON_TYPE), *headers)
    return Response(status, typed, msgspec.json.encode(body))


def problem_response(problem: Problem) -> Response:
    """Return an error response; the verdict is in its body and in a header."""
    document = ProblemDocument(
        type=f'{PROBLEM_URN}{problem.cause}',
        title=problem.cause.replace('-', ' '),
        status=problem.status,
        detail=problem.detail,
        verdict=problem.verdict.value,
        retry_after=problem.retry_after,
    )
    headers = [
        ('content-type', PROBLEM_TYPE),
        (VERDICT_HEADER, problem.verdict.value),
    ]
    if problem.retry_after is not None:
        headers.append(('retry-after', str(max(1, round(problem.retry_after)))))
    return Response(problem.status, tuple(headers), msgspec.json.encode(document))
