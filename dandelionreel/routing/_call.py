"""A caller's request to a service, parsed from its path and headers."""

import os
from dataclasses import dataclass

from dandelionreel.http import Headers, Request
from dandelionreel.kernel import clip_text, not_run_error

SERVICES_PREFIX = '/v1/services/'
HEADER_PREFIX = 'dandelionreel-'
CUSTOMER_HEADER = 'dandelionreel-customer'
CLASS_HEADER = 'dandelionreel-class'
DEADLINE_HEADER = 'dandelionreel-deadline-ms'
IDEMPOTENT_HEADER = 'dandelionreel-idempotent'
KEY_HEADER = 'idempotency-key'
DEFAULT_DEADLINE_MS = 5000
MILLISECONDS_PER_SECOND = 1000
REQUEST_ID_BYTES = 8
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
#: Methods that are idempotent by the HTTP specification.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'))


@dataclass(frozen=True)
class ServiceCall:
    """A parsed request to a service; ``deadline`` is on the monotonic clock.

    ``key`` is the idempotency key, and ``hops`` how often the request was forwarded.
    """

    id: str
    service: str
    customer: str
    task_class: str
    deadline: float
    idempotent: bool
    key: str
    request: Request
    hops: int = 0

    @property
    def is_keyed(self) -> bool:
        """Return whether the idempotency key must be claimed in the log before sending."""
        return bool(self.key) and not self.idempotent

    def make_runner_request(self) -> Request:
        """Return the request as it is sent to the runner."""
        _, _, rest = self.request.target.removeprefix(SERVICES_PREFIX).partition('/')
        return Request(
            self.request.method,
            f'/{rest}',
            _make_runner_headers(self.request.headers, self.id),
            self.request.body,
        )


def parse_service_call(request: Request, now: float, max_seconds: float) -> ServiceCall:
    """Validate and parse a request; raises ``RequestError`` with the verdict ``NOT_RUN``."""
    service, _, _ = request.path.removeprefix(SERVICES_PREFIX).partition('/')
    if not request.path.startswith(SERVICES_PREFIX) or not service:
        raise not_run_error(HTTP_NOT_FOUND, 'no-such-path', f'{request.path}: name a service')
    customer = request.header(CUSTOMER_HEADER)
    if not customer:
        raise not_run_error(
            HTTP_BAD_REQUEST,
            'missing-header',
            f'header {CUSTOMER_HEADER} is missing; name the customer',
        )
    return ServiceCall(
        id=request.header('dandelionreel-request-id') or os.urandom(REQUEST_ID_BYTES).hex(),
        service=service,
        customer=customer,
        task_class=request.header(CLASS_HEADER, 'urgent'),
        deadline=now + _parse_deadline(request, max_seconds),
        idempotent=_parse_idempotent(request),
        key=request.header(KEY_HEADER),
        request=request,
    )


def _parse_deadline(request: Request, max_seconds: float) -> float:
    text = request.header(DEADLINE_HEADER, str(DEFAULT_DEADLINE_MS))
    limit = int(max_seconds * MILLISECONDS_PER_SECOND)
    if not text.isdecimal() or not 1 <= int(clip_text(text)) <= limit:
        raise not_run_error(
            HTTP_BAD_REQUEST,
            'bad-header',
            f'header {DEADLINE_HEADER}: {clip_text(text)!r} is not allowed; '
            f'give 1 to {limit} milliseconds',
        )
    return int(text) / MILLISECONDS_PER_SECOND


def _parse_idempotent(request: Request) -> bool:
    text = request.header(IDEMPOTENT_HEADER)
    if not text:
        return request.method in IDEMPOTENT_METHODS
    if text not in {'true', 'false'}:
        raise not_run_error(
            HTTP_BAD_REQUEST,
            'bad-header',
            f'header {IDEMPOTENT_HEADER}: {clip_text(text)!r} is not allowed; give true or false',
        )
    return text == 'true'


def _make_runner_headers(headers: Headers, call_id: str) -> Headers:
    runner_headers = [(name, text) for name, text in headers if not name.startswith(HEADER_PREFIX)]
    runner_headers.append(('dandelionreel-request-id', call_id))
    return tuple(runner_headers)
