"""Routes requests to services: admission, queues, slots, forwarding and retries."""

from dandelionreel.routing._budget import (
    CustomerUsage,
    RetryBudget,
    TokenBucket,
    share_of_count,
    share_of_rate,
)
from dandelionreel.routing._call import ServiceCall, parse_call
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
from dandelionreel.routing._queue import RequestQueue, Waiter
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
    'Waiter',
    'parse_call',
    'share_of_count',
    'share_of_rate',
)
