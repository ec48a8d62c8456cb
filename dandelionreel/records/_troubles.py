"""When which hosts were without the store, down, or without an owner, as their lines tell.

One host without the store may be cut off by itself; all hosts of an availability zone and
no other tell of a cut of the zone; hosts of all zones tell that the store was away.
"""

import enum
from collections import defaultdict
from dataclasses import dataclass

from dandelionreel.records._stages import Stage
from dandelionreel.records._told import Told

#: Seconds after a claim in which a new owner still looks at the runners.
SETTLE_SECONDS = 0.3
#: Seconds within which the hosts of a cell start again that were lost together.
TOGETHER_SECONDS = 3.0
LOST_STORE = 'log: has lost the store: cell'
REACHES_STORE = 'log: reaches the store: cell'
STARTS = 'life: starts.'
NO_CLIENTS = 'life: asks for no clients: '
CLIENTS = 'life: asks for clients.'
#: Why a host asks for no clients when it is without the store.
STORE_CAUSES = ('store', 'cut off')
OWNS = 'ownership: owns the cell'


class Reach(enum.Enum):
    """How far a loss of the store reaches; its value is shown."""

    HOST = 'a host was without the store'
    ZONE = 'an availability zone was cut off'
    ALL = 'the store was away'


@dataclass
class Span:
    """From when to when something held, in wall seconds; infinite while it lasts."""

    since: float
    until: float = float('inf')

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether some of a time lies within."""
        return self.since < until and since < self.until


class Troubles:
    """Spans by host, and what they say together."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self.zone_by_host: dict[str, str] = {}
        self.takeovers: list[Span] = []
        self._without_by_host: dict[str, list[Span]] = defaultdict(list)
        self._starts_by_host: dict[str, list[Span]] = defaultdict(list)
        self._latest_by_host: dict[str, float] = {}

    def note_host(self, host: str, at: float) -> None:
        """Note that a host wrote a line; each host's lines come in order."""
        self._latest_by_host[host] = at

    def take(self, line: Told) -> None:
        """Take a line about a host; each host's lines come in order."""
        text = line.text
        if text.startswith(STARTS):
            self._take_start(line)
        elif text.startswith(LOST_STORE):
            self._lose(line.host, line.at)
        elif text.startswith(NO_CLIENTS) and any(cause in text for cause in STORE_CAUSES):
            self._lose(line.host, line.at - _seconds(line, 'store_age'))
        elif text.startswith((REACHES_STORE, CLIENTS)):
            self._end_loss(line.host, line.at)
        if text.startswith(OWNS):
            since = line.at - _seconds(line, 'silent_seconds')
            self.takeovers.append(Span(since, line.at + SETTLE_SECONDS))

    def reach(self, since: float, until: float) -> Reach | None:
        """Return how far a loss of the store within a time reached, ``None`` without one."""
        without = {
            host
            for host, spans in self._without_by_host.items()
            if any(span.overlaps(since, until) for span in spans)
        }
        if not without:
            return None
        zones = {self.zone_by_host.get(host, host) for host in without}
        if zones >= set(self.zone_by_host.values()) and len(zones) > 1:
            return Reach.ALL
        whole = [zone for zone in zones if self._hosts_of(zone) <= without]
        return Reach.ZONE if whole else Reach.HOST

    def cut_zones(self, since: float, until: float) -> set[str]:
        """Return the zones all of whose hosts were without the store within a time."""
        zones = set(self.zone_by_host.values())
        return {zone for zone in zones if self._was_cut(zone, since, until)}

    def all_down(self) -> list[Span]:
        """Return when no host was up."""
        starts = sorted(
            (span.until, span.since) for spans in self._starts_by_host.values() for span in spans
        )
        down = []
        for started, _ in starts:
            near = [
                (up, last) for up, last in starts if started <= up <= started + TOGETHER_SECONDS
            ]
            since = max(last for _, last in near)
            if len(near) >= len(self._latest_by_host) and since < started:
                down.append(Span(since, started))
        return down

    def _hosts_of(self, zone: str) -> set[str]:
        return {host for host, place in self.zone_by_host.items() if place == zone}

    def _was_cut(self, zone: str, since: float, until: float) -> bool:
        return all(
            any(span.overlaps(since, until) for span in self._without_by_host[host])
            for host in self._hosts_of(zone)
        )

    def _take_start(self, line: Told) -> None:
        zone = line.more.get('zone')
        if isinstance(zone, str):
            self.zone_by_host[line.host] = zone
        self._end_loss(line.host, line.at)
        last = self._latest_by_host.get(line.host)
        if last is not None:
            # Of what was before the first start nothing is told.
            self._starts_by_host[line.host].append(Span(last, line.at))

    def _lose(self, host: str, at: float) -> None:
        spans = self._without_by_host[host]
        if not spans or spans[-1].until < at:
            spans.append(Span(at))

    def _end_loss(self, host: str, at: float) -> None:
        spans = self._without_by_host[host]
        if spans and spans[-1].until == float('inf'):
            spans[-1].until = at


def _seconds(line: Told, name: str) -> float:
    """Return a field of a line in seconds, none where it does not tell."""
    found = line.more.get(name)
    return float(found) if isinstance(found, int | float) else 0.0


def tells_of_hosts(stage: Stage) -> bool:
    """Return whether lines of that stage may tell of a trouble of hosts."""
    return stage in {Stage.HOST, Stage.STORE, Stage.TAKEN_OVER}
