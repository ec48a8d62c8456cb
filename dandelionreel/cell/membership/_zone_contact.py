"""Decides whether a host is cut off, alone or with its availability zone. No I/O.

Load pattern: a zone is partitioned from the store and all other zones while its clients still reach
its hosts. Nothing can be accepted there, so clients are sent to other zones as soon as possible.
What tells a partition from an outage of the store, a lost owner or a slow link is that no host of
any other zone answers.
"""

from collections.abc import Iterable

#: Seconds without an answer of the store after which a host may be cut off and asks its peers,
#: though no request has failed.
STORE_SILENT_SECONDS = 0.4
STORE_OVERDUE_SECONDS = 0.6
#: Seconds for which questions that nobody answered tell something.
MISS_VALID_SECONDS = 2.0
NEVER = float('-inf')


class ZoneContact:
    """What was heard of other availability zones, and when."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self._answered_at_by_zone: dict[str, float] = {}
        self._missed_at_by_zone: dict[str, float] = {}

    def note_answer(self, zone: str, now: float) -> None:
        """Note that a host of a zone has answered."""
        self._answered_at_by_zone[zone] = now

    def note_miss(self, zone: str, asked_at: float) -> None:
        """Note that a question to a host of a zone was not answered."""
        self._missed_at_by_zone[zone] = asked_at

    def is_silent(self, zone: str, now: float) -> bool:
        """Return whether nobody of a zone has answered since the latest vain question."""
        missed_at = self._missed_at_by_zone.get(zone, NEVER)
        return missed_at > max(self._answered_at_by_zone.get(zone, NEVER), now - MISS_VALID_SECONDS)

    def is_cut_off(self, zones: Iterable[str], store_answered_at: float, now: float) -> bool:
        """Return whether neither the store nor any of the other ``zones`` answers.

        A host that knows no other zone cannot tell, and counts as connected.
        """
        other_zones = tuple(zones)
        if not other_zones or now - store_answered_at < STORE_SILENT_SECONDS:
            return False
        return all(self.is_silent(zone, now) for zone in other_zones)
