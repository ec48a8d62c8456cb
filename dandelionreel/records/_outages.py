"""Outages that the logs show: hosts without the store, hosts down, cells without an owner.

If one host lost the store, the host itself may be cut off; if exactly the hosts of an
availability zone lost it, the zone is partitioned; if hosts of all zones lost it, the
store was down.
"""

import enum
from collections import defaultdict
from dataclasses import dataclass

from dandelionreel.records._event_kinds import EventKind
from dandelionreel.records._log_event import LogEvent

#: Seconds after a claim in which a new owner still reads the state of the runners.
TAKEOVER_SETTLE_SECONDS = 0.3
#: Hosts of a cell that went down together start again within this many seconds.
COMMON_START_SECONDS = 3.0
LOST_STORE = 'log: has lost the store: cell'
REGAINED_STORE = 'log: reaches the store: cell'
HOST_STARTED = 'life: starts.'
NOT_READY = 'life: asks for no clients: '
READY = 'life: asks for clients.'
#: Reasons for not being ready that mean that the host has lost the store.
STORE_CAUSES = ('store', 'cut off')
OWNS_CELL = 'ownership: owns the cell'


class OutageScope(enum.Enum):
    """Extent of a store outage; the value is shown."""

    HOST = 'a host was without the store'
    ZONE = 'an availability zone was cut off'
    ALL = 'the store was away'


@dataclass
class TimeSpan:
    """A time span in Unix time; ``until`` is infinite while it lasts."""

    since: float
    until: float = float('inf')

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether the span overlaps another one."""
        return self.since < until and since < self.until


class Outages:
    """Collects outages of hosts, and derives those of zones and of the cell."""

    def __init__(self) -> None:
        """Start without outages."""
        self.zone_by_host: dict[str, str] = {}
        self.takeovers: list[TimeSpan] = []
        self._store_outages_by_host: dict[str, list[TimeSpan]] = defaultdict(list)
        self._downtimes_by_host: dict[str, list[TimeSpan]] = defaultdict(list)
        self._last_line_by_host: dict[str, float] = {}

    def record_line_time(self, host: str, at: float) -> None:
        """Record the time of a host's latest line; each host's lines come in order."""
        self._last_line_by_host[host] = at

    def add(self, event: LogEvent) -> None:
        """Add an event about a host; each host's events come in order."""
        text = event.text
        if text.startswith(HOST_STARTED):
            self._add_host_start(event)
        elif text.startswith(LOST_STORE):
            self._begin_store_outage(event.host, event.at)
        elif text.startswith(NOT_READY) and any(cause in text for cause in STORE_CAUSES):
            self._begin_store_outage(event.host, event.at - _get_seconds_field(event, 'store_age'))
        elif text.startswith((REGAINED_STORE, READY)):
            self._end_store_outage(event.host, event.at)
        if text.startswith(OWNS_CELL):
            since = event.at - _get_seconds_field(event, 'silent_seconds')
            self.takeovers.append(TimeSpan(since, event.at + TAKEOVER_SETTLE_SECONDS))

    def find_store_outage_scope(self, since: float, until: float) -> OutageScope | None:
        """Return the scope of store outages within a time span, ``None`` without any."""
        affected = {
            host
            for host, spans in self._store_outages_by_host.items()
            if any(span.overlaps(since, until) for span in spans)
        }
        if not affected:
            return None
        zones = {self.zone_by_host.get(host, host) for host in affected}
        if zones >= set(self.zone_by_host.values()) and len(zones) > 1:
            return OutageScope.ALL
        fully_affected = [zone for zone in zones if self._hosts_of_zone(zone) <= affected]
        return OutageScope.ZONE if fully_affected else OutageScope.HOST

    def find_partitioned_zones(self, since: float, until: float) -> set[str]:
        """Return the zones all of whose hosts were without the store within a time span."""
        zones = set(self.zone_by_host.values())
        return {zone for zone in zones if self._was_zone_partitioned(zone, since, until)}

    def find_total_outages(self) -> list[TimeSpan]:
        """Return the spans in which no host was up."""
        starts = sorted(
            (span.until, span.since) for spans in self._downtimes_by_host.values() for span in spans
        )
        total_outages = []
        for started, _ in starts:
            joint_starts = [
                (started_at, last)
                for started_at, last in starts
                if started <= started_at <= started + COMMON_START_SECONDS
            ]
            since = max(last for _, last in joint_starts)
            if len(joint_starts) >= len(self._last_line_by_host) and since < started:
                total_outages.append(TimeSpan(since, started))
        return total_outages

    def _hosts_of_zone(self, zone: str) -> set[str]:
        return {host for host, host_zone in self.zone_by_host.items() if host_zone == zone}

    def _was_zone_partitioned(self, zone: str, since: float, until: float) -> bool:
        return all(
            any(span.overlaps(since, until) for span in self._store_outages_by_host[host])
            for host in self._hosts_of_zone(zone)
        )

    def _add_host_start(self, event: LogEvent) -> None:
        zone = event.extra_fields.get('zone')
        if isinstance(zone, str):
            self.zone_by_host[event.host] = zone
        self._end_store_outage(event.host, event.at)
        last = self._last_line_by_host.get(event.host)
        if last is not None:
            # Without an earlier line it is unknown since when the host had been down.
            self._downtimes_by_host[event.host].append(TimeSpan(last, event.at))

    def _begin_store_outage(self, host: str, at: float) -> None:
        spans = self._store_outages_by_host[host]
        if not spans or spans[-1].until < at:
            spans.append(TimeSpan(at))

    def _end_store_outage(self, host: str, at: float) -> None:
        spans = self._store_outages_by_host[host]
        if spans and spans[-1].until == float('inf'):
            spans[-1].until = at


def _get_seconds_field(event: LogEvent, name: str) -> float:
    """Return a field in seconds, 0 if the event lacks it."""
    field_value = event.extra_fields.get(name)
    return float(field_value) if isinstance(field_value, int | float) else 0.0


def may_show_outage(kind: EventKind) -> bool:
    """Return whether events of a kind may show an outage."""
    return kind in {EventKind.HOST, EventKind.STORE, EventKind.TAKEOVER}
