"""Finds the queue of a client's call by a configuration that is not outdated."""

import enum
from collections.abc import Callable

from dandelionreel.cell.membership import ConfigurationExchange
from dandelionreel.cell.model import Queue
from dandelionreel.cell.store import ConfigurationProjection

#: Age in seconds of the configuration from which on a missing queue is looked up at peers.
MAX_AGE_SECONDS = 1.0


class MissingQueue(enum.Enum):
    """Why a call has no queue."""

    UNKNOWN = 'no such queue'
    #: This host's configuration may be outdated, and a newer one may have the queue.
    UNDECIDED = 'the queue cannot be looked up now'


class QueueLookup:
    """Finds queues by the newest configuration that this host can get."""

    def __init__(
        self,
        configuration: ConfigurationProjection,
        exchange: ConfigurationExchange,
        max_seconds_behind: float,
        is_cut_off: Callable[[], bool],
    ) -> None:
        """Look queues up in ``configuration``, which ``exchange`` keeps as new as that of peers.

        A version is no longer used once a newer one has been known for ``max_seconds_behind``,
        unless ``is_cut_off()``: a zone inside a partition goes on serving what it can.
        """
        self._configuration = configuration
        self._exchange = exchange
        self._max_seconds_behind = max_seconds_behind
        self._is_cut_off = is_cut_off

    async def find_queue(self, host: str, path: str) -> Queue | MissingQueue:
        """Return the queue of a call to ``host`` and ``path``."""
        if self._exchange.seconds_behind() > self._max_seconds_behind and not self._is_cut_off():
            return MissingQueue.UNDECIDED
        queue = self._find_known_queue(host, path)
        if queue is not None:
            return queue
        if self._exchange.configuration_age() < MAX_AGE_SECONDS:
            return MissingQueue.UNKNOWN
        confirmed = await self._exchange.confirm_newest()
        missing = MissingQueue.UNKNOWN if confirmed else MissingQueue.UNDECIDED
        return self._find_known_queue(host, path) or missing

    def _find_known_queue(self, host: str, path: str) -> Queue | None:
        current = self._configuration.current
        return None if current is None else current.find_queue(host, path)
