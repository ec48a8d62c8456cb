"""Prometheus metrics of the dispatcher."""

from prometheus_client import CollectorRegistry, Counter, Histogram

WAITING_BUCKETS_SECONDS = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 15, 60, 300, 1800, 7200)


class JobMetrics:
    """Waiting times of jobs, starts of tasks and ends of attempts."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics with ``registry``."""
        self._waiting = Histogram(
            'dandelionreel_job_waiting_seconds',
            'Time from acceptance to the first start.',
            ('customer', 'task_class'),
            registry=registry,
            buckets=WAITING_BUCKETS_SECONDS,
        )
        self._starts = Counter(
            'dandelionreel_task_starts',
            'Tasks that were started.',
            ('customer', 'task_class'),
            registry=registry,
        )
        self._ends = Counter(
            'dandelionreel_attempts_ended',
            'Attempts that ended, by outcome.',
            ('customer', 'outcome'),
            registry=registry,
        )

    def observe_waiting_time(self, customer: str, task_class: str, seconds: float) -> None:
        """Record the time from a job's acceptance to its first start."""
        self._waiting.labels(customer, task_class).observe(seconds)

    def count_task_start(self, customer: str, task_class: str) -> None:
        """Count the start of a task."""
        self._starts.labels(customer, task_class).inc()

    def count_attempt_end(self, customer: str, outcome: str) -> None:
        """Count the end of an attempt."""
        self._ends.labels(customer, outcome).inc()
