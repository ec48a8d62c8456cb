"""Decides whether a host is cut off, alone or with its availability zone. No I/O.

Load pattern: a zone is partitioned from the store and all other zones while its clients still reach
its hosts. Nothing can be accepted there, so clients are sent to other zones as soon as possible.
A partition differs from an outage of the store, a lost owner or a slow link in that no host of any
other zone replies.
"""

from collections.abc import Iterable

#: Seconds without a reply from the store after which a host may count as cut off, and after which
#: it queries other zones even though no request has failed.
STORE_SILENT_SECONDS = 0.4
STORE_OVERDUE_SECONDS = 0.6
#: Seconds for which an unanswered query to a zone counts.
MISS_VALID_SECONDS = 2.0
NEVER = float('-inf')


class ZoneContact:
    """When hosts of each other availability zone last replied, or did not."""

    def __init__(self) -> None:
        """Start without any reply."""
        self._answered_at_by_zone: dict[str, float] = {}
        self._missed_at_by_zone: dict[str, float] = {}

    def record_reply(self, zone: str, now: float) -> None:
        """Record that a host of a zone has replied."""
        self._answered_at_by_zone[zone] = now

    def record_miss(self, zone: str, queried_at: float) -> None:
        """Record that a query to a host of a zone, sent at ``queried_at``, got no reply."""
        self._missed_at_by_zone[zone] = queried_at

    def is_zone_silent(self, zone: str, now: float) -> bool:
        """Return whether no host of a zone has replied since the latest unanswered query."""
        missed_at = self._missed_at_by_zone.get(zone, NEVER)
        return missed_at > max(self._answered_at_by_zone.get(zone, NEVER), now - MISS_VALID_SECONDS)

    def is_host_cut_off(self, zones: Iterable[str], store_answered_at: float, now: float) -> bool:
        """Return whether neither the store nor any of the other ``zones`` replies.

        A host that knows no other zone cannot detect a partition, and counts as connected.
        """
        other_zones = tuple(zones)
        if not other_zones or now - store_answered_at < STORE_SILENT_SECONDS:
            return False
        return all(self.is_zone_silent(zone, now) for zone in other_zones)
