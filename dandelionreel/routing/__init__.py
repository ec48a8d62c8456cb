"""Routes requests to services: admission, queues, slots, forwarding and retries."""

from dandelionreel.routing._budget import (
    CustomerUsage,
    RetryBudget,
    TokenBucket,
    daemon_share_of_count,
    daemon_share_of_rate,
)
from dandelionreel.routing._call import ServiceCall, parse_service_call
from dandelionreel.routing._choice import LeastLoaded, RoundRobin, RunnerChoice, TwoChoices
from dandelionreel.routing._keys import (
    IdempotencyGuard,
    KeyProjection,
    RequestEnded,
    RequestIntent,
    RequestRecord,
)
from dandelionreel.routing._metrics import RoutingMetrics
from dandelionreel.routing._pool import RunnerPool
from dandelionreel.routing._queue import RequestQueue, WaitingRequest
from dandelionreel.routing._router import Router
from dandelionreel.routing._runner import Runner

__all__ = (
    'CustomerUsage',
    'IdempotencyGuard',
    'KeyProjection',
    'LeastLoaded',
    'RequestEnded',
    'RequestIntent',
    'RequestQueue',
    'RequestRecord',
    'RetryBudget',
    'RoundRobin',
    'Router',
    'RoutingMetrics',
    'Runner',
    'RunnerChoice',
    'RunnerPool',
    'ServiceCall',
    'TokenBucket',
    'TwoChoices',
    'WaitingRequest',
    'parse_service_call',
    'daemon_share_of_count',
    'daemon_share_of_rate',
)
