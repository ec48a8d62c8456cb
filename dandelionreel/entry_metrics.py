"""Counters and histograms of an entry host, in the text format of Prometheus."""

import resource
from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from dandelionreel.cell.decisions import AllocationPhase, Cell
from dandelionreel.cell.membership import AdviceFigures
from dandelionreel.cell.model import Configuration
from dandelionreel.cell.owner import PacingFigures
from dandelionreel.entry_accounts import RefusalCounts, list_accounts
from dandelionreel.http import (
    Request,
    Response,
    abandoned_bytes_by_kind,
    control_bytes_by_kind,
    json_response,
)
from dandelionreel.peers import TrafficCounter

HTTP_OK = 200
#: Path of the status of client accounts; all other paths serve the metrics.
ACCOUNTS_PATH = '/accounts'
TEXT_TYPE = 'text/plain; version=0.0.4'
#: In seconds; the store answers in 4 ms, clients wait 3 s.
ANSWER_SECONDS_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3)


class EntryMetrics:
    """The metrics of one entry host."""

    def __init__(self) -> None:
        """Register all metrics in a registry of their own."""
        self._registry = CollectorRegistry()
        self.refusals = RefusalCounts()
        self._get_accounts_view: Callable[[], dict[str, Any]] = dict
        self._configuration_version = self._make_gauge(
            'configuration_version', 'Version of the configuration in force, 0 without one.'
        )
        self._configuration_age = self._make_gauge(
            'configuration_age_seconds', "Age of the last complete read of the operator's topic."
        )
        self._abandoned_bytes = self._make_gauge(
            'abandoned_answer_bytes', 'Bytes of answers of servers that were given up.', 'kind'
        )
        self._peer_traffic = self._make_gauge(
            'peer_bytes', 'Bytes to peers and in their answers, by message.', 'message'
        )
        self._unawaited_bytes = self._make_gauge(
            'unawaited_peer_bytes', 'Bytes of answers of peers whose query had been given up.'
        )
        self._answers = Counter(
            'dandelionreel_answers',
            'Answers to clients.',
            ('method', 'status'),
            registry=self._registry,
        )
        self._answer_seconds = Histogram(
            'dandelionreel_answer_seconds',
            'Time to answer a client.',
            ('method',),
            buckets=ANSWER_SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._unreadable = Counter(
            'dandelionreel_unreadable_records',
            'Records in the store that cannot be read.',
            ('topic', 'reason'),
            registry=self._registry,
        )
        self._refused_jobs = Counter(
            'dandelionreel_refused_jobs',
            'Jobs that this host refused as the owner.',
            ('queue', 'reason'),
            registry=self._registry,
        )
        self._owner = self._make_gauge('owner', 'Whether this host owns the cell.')
        self._store_age = self._make_gauge(
            'store_age_seconds', 'Age of what is known of the store.'
        )
        self._jobs = self._make_gauge('jobs_under_way', 'Jobs that are not over, at the owner.')
        self._tasks = self._make_gauge('tasks', 'Runs held by runners, at the owner.', 'phase')
        self._crashed_runs = self._make_gauge(
            'crashed_runs', 'Runs under which a runner has crashed, in this term of the owner.'
        )
        self._uneven_speeds = self._make_gauge(
            'runner_speeds_uneven', 'Whether the owner places tasks by the speeds of runners.'
        )
        self._runner_speed = self._make_gauge(
            'runner_speed', 'Learned speed of runners at the owner, 1 if even.', 'percentile'
        )
        self._dropped_lines = self._make_gauge(
            'log_lines_dropped', 'Log lines that nobody read in time.'
        )
        self._peer_bytes = self._make_gauge('outside_bytes', 'Bytes to and from servers.', 'kind')
        self._owner_late = self._make_gauge('owner_late', 'Whether the owner is late.')
        self._owner_delay = self._make_gauge(
            'owner_delay_seconds', "By how much the owner's loop wakes up late."
        )
        self._oldest_knowledge = self._make_gauge(
            'owner_oldest_answer_seconds', 'Age of the oldest answer that a recent start relied on.'
        )
        self._held_back_starts = self._make_gauge(
            'owner_held_back_starts',
            'Starts that were not sent for the age of what is known, in this term of the owner.',
        )
        self._advice_calls = self._make_gauge(
            'advice_calls', 'Calls to the policy service, in this term of the owner.', 'outcome'
        )
        self._overdue_advice_calls = self._make_gauge(
            'advice_calls_overdue', 'Calls without an answer in time, in this owner term.'
        )
        self._advice_waiting = self._make_gauge(
            'advice_waiting', 'Advice requests that wait for a free host, at the owner.'
        )
        self._advice_seconds = self._make_gauge(
            'advice_longest_seconds',
            'Longest time of an advice request in this term of the owner, by phase.',
            'phase',
        )
        self._account_used = self._make_gauge(
            'account_used', 'What an account has running, at the owner.', 'account', 'resource'
        )
        self._account_refused = self._make_gauge(
            'account_refused', 'Calls of an account that this host refused.', 'account'
        )
        self._account_starts_beside_gangs = self._make_gauge(
            'account_starts_beside_gangs',
            'Tasks that started while their account waited for a gang, in this owner term.',
            'account',
        )
        self._refused_requests = self._make_gauge(
            'refused_requests', 'Requests refused before they were handled.', 'cause'
        )
        self._cpu_seconds = self._make_gauge('cpu_seconds', 'Processor time of this process.')

    def update_pacing(self, figures: PacingFigures) -> None:
        """Set the gauges of how late the owner is."""
        self._owner_late.set(figures.is_late)
        self._owner_delay.set(figures.delay)
        self._oldest_knowledge.set(figures.oldest_knowledge_used)
        self._held_back_starts.set(figures.held_back_starts)

    def update_advice(self, figures: AdviceFigures) -> None:
        """Set the gauges of the owner's requests to the policy service."""
        for outcome, count in figures.calls_by_outcome.items():
            self._advice_calls.labels(outcome.value).set(count)
        self._overdue_advice_calls.set(figures.overdue_calls)
        self._advice_waiting.set(figures.waiting)
        self._advice_seconds.labels('queued').set(figures.longest_queued_seconds)
        self._advice_seconds.labels('call').set(figures.longest_call_seconds)

    def update_refused_requests(self, count_by_cause: dict[str, int]) -> None:
        """Set the gauge of the requests that were refused before they were handled."""
        for cause, count in count_by_cause.items():
            self._refused_requests.labels(cause).set(count)

    def update_traffic(self, traffic: TrafficCounter) -> None:
        """Set the gauges of the bytes on connections that this host has opened."""
        bytes_by_message: dict[str, int] = {}
        for (_, message), count in traffic.bytes_by_peer.items():
            bytes_by_message[message] = bytes_by_message.get(message, 0) + count
        for message, count in bytes_by_message.items():
            self._peer_traffic.labels(message).set(count)
        self._unawaited_bytes.set(traffic.unawaited_bytes)
        for kind, count in abandoned_bytes_by_kind.items():
            self._abandoned_bytes.labels(kind).set(count)

    def set_accounts_view(self, get_view: Callable[[], dict[str, Any]]) -> None:
        """Serve the result of ``get_view()`` at ``ACCOUNTS_PATH``."""
        self._get_accounts_view = get_view

    def count_answer(self, method: str, status: int, seconds: float) -> None:
        """Count an answer to a client."""
        self._answers.labels(method, str(status)).inc()
        self._answer_seconds.labels(method).observe(seconds)

    def count_unreadable(self, topic: str, reason: str) -> None:
        """Count a record in the store that cannot be read."""
        self._unreadable.labels(topic, reason).inc()

    def count_refused_job(self, queue: str, reason: str) -> None:
        """Count a job that this host refused as the owner."""
        self._refused_jobs.labels(queue, reason).inc()

    def update_gauges(
        self,
        cell: Cell | None,
        configuration: Configuration | None,
        store_age: float,
        configuration_age: float,
        dropped_lines: int,
    ) -> None:
        """Set the gauges."""
        self._owner.set(cell is not None)
        self._store_age.set(store_age)
        self._dropped_lines.set(dropped_lines)
        for kind, count in control_bytes_by_kind.items():
            self._peer_bytes.labels(kind).set(count)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._cpu_seconds.set(usage.ru_utime + usage.ru_stime)
        self._update_configuration_gauges(configuration, configuration_age)
        self._update_cell_gauges(cell)
        self._update_account_gauges(cell, configuration)

    async def handle(self, request: Request) -> Response:
        """Serve all metrics, or the status of client accounts."""
        if request.path == ACCOUNTS_PATH:
            return json_response(self._get_accounts_view())
        return Response(HTTP_OK, (('content-type', TEXT_TYPE),), generate_latest(self._registry))

    def _update_configuration_gauges(self, configuration: Configuration | None, age: float) -> None:
        self._configuration_version.set(0 if configuration is None else configuration.version)
        self._configuration_age.set(age)

    def _update_cell_gauges(self, cell: Cell | None) -> None:
        jobs = cell.job_by_id.values() if cell else ()
        self._jobs.set(sum(not job.is_finished for job in jobs))
        self._crashed_runs.set(cell.crashed_runs if cell else 0)
        self._uneven_speeds.set(cell.run_times.is_uneven if cell else 0)
        self._runner_speed.labels('10').set(cell.run_times.low_speed if cell else 1)
        self._runner_speed.labels('90').set(cell.run_times.high_speed if cell else 1)
        count_by_phase = dict.fromkeys(AllocationPhase, 0)
        for runner in cell.runner_by_id.values() if cell else ():
            for allocation in runner.allocation_by_run.values():
                count_by_phase[allocation.phase] += 1
        for phase, count in count_by_phase.items():
            self._tasks.labels(phase.value).set(count)

    def _update_account_gauges(
        self, cell: Cell | None, configuration: Configuration | None
    ) -> None:
        self._account_used.clear()
        self._account_starts_beside_gangs.clear()
        if cell is not None:
            beside_by_account = cell.quotas.starts_beside_gangs_by_account
            for account in list_accounts(configuration):
                used = cell.quotas.used(account.name)
                self._account_used.labels(account.name, 'cpu').set(used.cpu)
                self._account_used.labels(account.name, 'memory_mb').set(used.memory_mb)
                self._account_starts_beside_gangs.labels(account.name).set(
                    beside_by_account[account.name]
                )
        for name, count in self.refusals.count_by_account.items():
            self._account_refused.labels(name).set(count)

    def _make_gauge(self, name: str, description: str, *labels: str) -> Gauge:
        return Gauge(f'dandelionreel_{name}', description, labels, registry=self._registry)
