"""Prometheus metrics of the router."""

from prometheus_client import CollectorRegistry, Counter, Histogram

from dandelionreel.routing._call import ServiceCall

LATENCY_BUCKETS_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2.5, 5, 10)


class RoutingMetrics:
    """Metrics of answers, refusals and retries."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics with ``registry``."""
        self._answer_seconds = Histogram(
            'dandelionreel_request_seconds',
            'Time from a request to its answer.',
            ('customer', 'task_class'),
            registry=registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        self._refusals = Counter(
            'dandelionreel_refusals',
            'Requests that got no answer of a runner.',
            ('verdict', 'cause'),
            registry=registry,
        )
        self._retries = Counter(
            'dandelionreel_retries',
            'Requests that were sent again.',
            ('customer',),
            registry=registry,
        )

    def count_answer(self, call: ServiceCall, seconds: float) -> None:
        """Observe the time that a response took."""
        self._answer_seconds.labels(call.customer, call.task_class).observe(seconds)

    def count_refusal(self, call: ServiceCall, verdict: str, cause: str) -> None:
        """Count a refusal."""
        self._refusals.labels(verdict, cause).inc()

    def count_retry(self, call: ServiceCall) -> None:
        """Count a retry."""
        self._retries.labels(call.customer).inc()
