"""The daemon's own metrics: log, ownership, queues, workers, control traffic."""

import resource
from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Gauge
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from dandelionreel.backing import HostWatch, StreamReader, StreamWriter
from dandelionreel.http import control_bytes_by_kind
from dandelionreel.jobs import JobProjection, JobState
from dandelionreel.ownership import ShardClaimer
from dandelionreel.peers import TrafficCounter
from dandelionreel.placement import Planner

RESIDENT_PAGES_FIELD = 1


class ControlBytesCollector(Collector):
    """Bytes of control messages, by peer and kind."""

    def __init__(self, traffic: TrafficCounter) -> None:
        """Read the byte counts of the peer connections."""
        self._traffic = traffic

    def collect(self) -> Iterable[CounterMetricFamily]:
        """Yield the byte counters."""
        family = CounterMetricFamily(
            'dandelionreel_control_bytes',
            'Bytes to and from peers, by message, and to and from the platform.',
            labels=('peer', 'kind'),
        )
        for name, count in sorted(self._traffic.bytes_by_peer.items()):
            family.add_metric(name, count)
        for kind, count in sorted(control_bytes_by_kind.items()):
            family.add_metric(('platform', kind), count)
        yield family


class DaemonMetrics:
    """Gauges that are set once a second."""

    def __init__(self, traffic: TrafficCounter) -> None:
        """Create a separate registry, so that daemons in one process do not share metrics."""
        self.registry = CollectorRegistry()
        self.registry.register(ControlBytesCollector(traffic))
        self._log_outage = self._add_gauge('log_outage_seconds', 'Seconds without the log, in all.')
        self._log_read = self._add_gauge('log_read_seconds', 'Time of the latest read.')
        self._log_append = self._add_gauge('log_append_seconds', 'Time of the latest append.')
        self._appends = self._add_gauge('log_appends', 'Appends to the zone stream since start.')
        self._records = self._add_gauge('log_records', 'Records written since start.')
        self._owned = self._add_gauge('owned_shards', 'Shards that this daemon owns.')
        self._takeovers = self._add_gauge('takeovers', 'Shards taken from silent owners.')
        self._queue = self._add_gauge('request_queue', 'Requests that wait.', 'service')
        self._jobs = self._add_gauge('jobs', 'Jobs of this zone by state.', 'state')
        self._decisions = self._add_gauge(
            'decisions', 'Placement decisions since dispatching began.'
        )
        self._unusable_hosts = self._add_gauge(
            'unusable_hosts', 'Entries of the host list that cannot be used.'
        )
        self._unreadable_records = self._add_gauge(
            'log_unreadable_records', 'Records of the cell and zone streams that cannot be read.'
        )
        self._used = self._add_gauge('used', 'Use of the zone by resource.', 'resource')
        self._capacity = self._add_gauge('capacity', 'What the zone has.', 'resource')
        self._refused_requests = self._add_gauge(
            'refused_requests', 'Requests refused before they were handled.', 'cause'
        )
        self._cpu_seconds = self._add_gauge('cpu_seconds', 'Processor time of this process.')
        self._resident_bytes = self._add_gauge('memory_bytes', 'Resident memory of this process.')

    def update(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        queue_by_service: dict[str, int],
        jobs: JobProjection,
        planner: Planner,
        claimer: ShardClaimer,
        hosts: HostWatch,
        refused_by_cause: dict[str, int],
    ) -> None:
        """Set all gauges."""
        self._unusable_hosts.set(hosts.unusable_count)
        for cause, count in refused_by_cause.items():
            self._refused_requests.labels(cause).set(count)
        self._log_outage.set(reader.outage_seconds)
        self._log_read.set(reader.read_seconds)
        self._log_append.set(writer.append_seconds)
        self._appends.set(writer.appends)
        self._records.set(writer.records)
        self._owned.set(len(claimer.owned_claims()))
        self._takeovers.set(claimer.takeovers)
        for service, length in queue_by_service.items():
            self._queue.labels(service).set(length)
        for state in JobState:
            self._jobs.labels(state.value).set(jobs.count_in_state(state))
        self._decisions.set(planner.decision_count)
        self._set_resource_use(planner)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._cpu_seconds.set(usage.ru_utime + usage.ru_stime)
        self._resident_bytes.set(resident_bytes())

    def count_unreadable_records(self, *readers: StreamReader) -> None:
        """Set the number of records that the readers could not read since they started."""
        self._unreadable_records.set(sum(reader.unreadable for reader in readers))

    def _set_resource_use(self, planner: Planner) -> None:
        used = planner.cell.usage.total()
        total = planner.cell.total_capacity
        for name, used_amount, total_amount in (
            ('processors', used.processors, total.processors),
            ('memory_mb', used.memory_mb, total.memory_mb),
            ('accelerators', used.accelerators, total.accelerators),
        ):
            self._used.labels(name).set(used_amount)
            self._capacity.labels(name).set(total_amount)

    def _add_gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f'dandelionreel_{name}', text, labels, registry=self.registry)


def resident_bytes() -> int:
    """Return this process's resident memory, from the kernel's statm."""
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[RESIDENT_PAGES_FIELD])
    return pages * resource.getpagesize()
