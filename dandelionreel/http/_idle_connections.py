"""Idle connections that give way once a server has as many connections as it may have."""

import heapq
from collections.abc import Iterable

from dandelionreel.http._connections import Phase, ServerConnection

#: Seconds without a request after which a connection gives way to a new one.
IDLE_SECONDS = 1.0
#: Connections that give way at a time, as finding them means looking at all.
IDLE_BATCH = 16


def find_longest_idle(
    connections: Iterable[ServerConnection], now: float
) -> list[ServerConnection]:
    """Return the connections that give way, longest idle first; ``now`` is monotonic."""
    idle = (
        connection
        for connection in connections
        if connection.phase is Phase.IDLE
        and connection.refusal is None
        and now - connection.phase_since > IDLE_SECONDS
        and not connection.peek()
    )
    return heapq.nsmallest(IDLE_BATCH, idle, key=_get_phase_start)


def _get_phase_start(connection: ServerConnection) -> float:
    return connection.phase_since
