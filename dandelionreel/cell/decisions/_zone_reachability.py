"""Decides from overdue answers of runners which availability zones are unreachable. No I/O.

Load pattern: a zone is partitioned while many starts per second go there, and each lost start
delays its task until the partition heals. If two runners of a zone are silent and no other runner
there answers, the whole zone is considered unreachable.
"""

from collections.abc import Iterable
from dataclasses import dataclass

#: Seconds after which the answer to an order (a start or a stop) is overdue.
OVERDUE_SECONDS = 0.08
#: Number of silent runners that make a zone unreachable; a single one may have ended.
MIN_SILENT_RUNNERS = 2
#: Seconds after which an unanswered order is no evidence any more.
ORDER_EXPIRY_SECONDS = 1.0


@dataclass(frozen=True)
class _Order:
    runner: str
    sent_at: float


class ZoneReachability:
    """Unanswered orders by zone, and the zones considered unreachable."""

    def __init__(self) -> None:
        """Consider all zones reachable at first."""
        self._orders_by_zone: dict[str, list[_Order]] = {}
        self._unreachable: set[str] = set()

    def record_sent_order(self, zone: str, runner: str, now: float) -> None:
        """Record that an order is sent to a runner."""
        recent = [
            order
            for order in self._orders_by_zone.get(zone, ())
            if now - order.sent_at < ORDER_EXPIRY_SECONDS
        ]
        self._orders_by_zone[zone] = [*recent, _Order(runner, now)]

    def record_zone_answer(self, zone: str) -> None:
        """Record an answer of a runner: its zone is reachable."""
        self._orders_by_zone.pop(zone, None)
        self._unreachable.discard(zone)

    def unreachable_zones(self, zones: Iterable[str], now: float) -> set[str]:
        """Return the zones that get no new starts until a runner there answers.

        Returns none if all ``zones`` seem unreachable: then this host may be the one that is
        partitioned.
        """
        all_zones = set(zones)
        self._unreachable.update(zone for zone in all_zones if self._is_zone_silent(zone, now))
        unreachable = all_zones & self._unreachable
        return unreachable if unreachable < all_zones else set()

    def _is_zone_silent(self, zone: str, now: float) -> bool:
        overdue = {
            order.runner
            for order in self._orders_by_zone.get(zone, ())
            if OVERDUE_SECONDS <= now - order.sent_at < ORDER_EXPIRY_SECONDS
        }
        return len(overdue) >= MIN_SILENT_RUNNERS
