"""Decides which availability zones cannot be reached, by their runners' overdue answers. No I/O.

Load pattern: a zone is cut off while many starts a second go there, and each start that is lost
holds its task up until the partition heals. Two silent runners of a zone of which no runner answers
stand for all of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass

#: Seconds after which an order's answer is overdue.
OVERDUE_SECONDS = 0.08
#: Runners of a zone that must be silent: one may have ended.
MIN_SILENT_RUNNERS = 2
#: Seconds after which an order that was never answered tells nothing any more.
ORDER_EXPIRY_SECONDS = 1.0


@dataclass(frozen=True)
class _Order:
    runner: str
    sent_at: float


class ZoneReachability:
    """Orders that are not answered yet, by zone, and zones that are in doubt."""

    def __init__(self) -> None:
        """Start without a doubt."""
        self._orders_by_zone: dict[str, list[_Order]] = {}
        self._unreachable: set[str] = set()

    def note_order(self, zone: str, runner: str, now: float) -> None:
        """Note that an order leaves for a runner."""
        recent = [
            order
            for order in self._orders_by_zone.get(zone, ())
            if now - order.sent_at < ORDER_EXPIRY_SECONDS
        ]
        self._orders_by_zone[zone] = [*recent, _Order(runner, now)]

    def note_answer(self, zone: str) -> None:
        """Note that some runner of a zone has answered: it can be reached."""
        self._orders_by_zone.pop(zone, None)
        self._unreachable.discard(zone)

    def unreachable_zones(self, zones: Iterable[str], now: float) -> set[str]:
        """Return the zones that get nothing new until one there answers; never all ``zones``.

        Where all are in doubt, it is this host that is cut off, or nothing can be told.
        """
        all_zones = set(zones)
        self._unreachable.update(zone for zone in all_zones if self._is_silent(zone, now))
        unreachable = all_zones & self._unreachable
        return unreachable if unreachable < all_zones else set()

    def _is_silent(self, zone: str, now: float) -> bool:
        overdue = {
            order.runner
            for order in self._orders_by_zone.get(zone, ())
            if OVERDUE_SECONDS <= now - order.sent_at < ORDER_EXPIRY_SECONDS
        }
        return len(overdue) >= MIN_SILENT_RUNNERS
