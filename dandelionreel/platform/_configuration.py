"""Decodes the operator's configuration from the store."""

from typing import Annotated

import msgspec

from dandelionreel.cell.model import AdvicePolicy, Configuration, Queue, Service, decode_json
from dandelionreel.platform._accounts import AccountDecoder

#: The key in the operator's topic under which the whole current configuration is stored.
CONFIGURATION_KEY = 'config'
MILLISECONDS_PER_SECOND = 1000
#: JSON numbers are exact integers up to here. A larger version is rejected: it would prevent
#: every later version from coming into force.
JSON_INTEGER_LIMIT = 9_007_199_254_740_992

Version = Annotated[int, msgspec.Meta(ge=0, lt=JSON_INTEGER_LIMIT)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class _AdviceFields(msgspec.Struct, frozen=True):
    decision_ms: NonNegative = 0
    period_ms: NonNegative = 0
    valid_ms: NonNegative = 2000


class _RouteRow(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    service: str = ''
    timeout_ms: NonNegative = 3000
    target_latency_ms: NonNegative = 0
    priority: int = 0
    max_attempts: int = 1
    slack_factor: NonNegative = 1
    advice: _AdviceFields | None = None
    public: bool = False


class _ServiceRow(msgspec.Struct, frozen=True):
    name: str
    enforces_capacity: bool = False
    standby: bool = False


class _RequestLimits(msgspec.Struct, frozen=True):
    max_body_bytes: int = 262_144


class _ConfigurationDocument(msgspec.Struct, frozen=True):
    version: Version
    routes: tuple[msgspec.Raw, ...] = ()
    services: tuple[_ServiceRow, ...] = ()
    limits: _RequestLimits = msgspec.field(default_factory=_RequestLimits)
    tenants: tuple[msgspec.Raw, ...] | None = None


_DECODER = msgspec.json.Decoder(_ConfigurationDocument)
_ROUTE_DECODER = msgspec.json.Decoder(_RouteRow)


class ConfigurationDecoder:
    """Decodes successive versions; routes and accounts that did not change are not decoded again.

    Load pattern: each version adds to thousands of routes, and the process serves calls meanwhile.
    """

    def __init__(self) -> None:
        """Create a decoder that has seen no version yet."""
        self._accounts = AccountDecoder()
        self._queue_by_row: dict[bytes, Queue] = {}

    def decode(self, content: bytes) -> Configuration:
        """Decode a configuration; raises ``UnreadableError``."""
        document = decode_json(_DECODER, content)
        services = tuple(
            Service(entry.name, entry.enforces_capacity, entry.standby)
            for entry in document.services
        )
        tenant_rows = document.tenants
        return Configuration(
            document.version,
            self._decode_routes(document.routes),
            services,
            document.limits.max_body_bytes,
            None if tenant_rows is None else self._accounts.decode(tenant_rows),
        )

    def _decode_routes(self, rows: tuple[msgspec.Raw, ...]) -> tuple[Queue, ...]:
        queue_by_row: dict[bytes, Queue] = {}
        for row in rows:
            content = bytes(row)
            queue = self._queue_by_row.get(content)
            if queue is None:
                queue = _to_queue(decode_json(_ROUTE_DECODER, content))
            queue_by_row[content] = queue
        self._queue_by_row = queue_by_row
        return tuple(queue_by_row.values())


def _to_queue(route: _RouteRow) -> Queue:
    advice = None
    if route.advice is not None:
        advice = AdvicePolicy(
            route.advice.decision_ms / MILLISECONDS_PER_SECOND,
            route.advice.period_ms / MILLISECONDS_PER_SECOND,
            route.advice.valid_ms / MILLISECONDS_PER_SECOND,
        )
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        slack=route.slack_factor,
        latency=route.target_latency_ms / MILLISECONDS_PER_SECOND,
        timeout=route.timeout_ms / MILLISECONDS_PER_SECOND,
        advice=advice,
        public=route.public,
    )
