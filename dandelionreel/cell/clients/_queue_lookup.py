"""Finds the queue of a client's call, and does not deny one that may have been added meanwhile."""

import enum

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
        self, configuration: ConfigurationProjection, exchange: ConfigurationExchange
    ) -> None:
        """Look queues up in ``configuration``, which ``exchange`` keeps as new as that of peers."""
        self._configuration = configuration
        self._exchange = exchange

    async def find_queue(self, host: str, path: str) -> Queue | MissingQueue:
        """Return the queue of a call to ``host`` and ``path``."""
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
