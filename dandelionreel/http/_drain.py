"""The end of a server: each request that has reached it is answered or refused."""

from collections.abc import Callable
from dataclasses import dataclass

import curio

from dandelionreel.http._connections import IdleCloses
from dandelionreel.http._server import Server

#: Seconds after which a stopping server closes a connection whose client sends nothing. A client
#: that goes on using it has its next request answered, and the connection closed after that.
IDLE_SECONDS = 0.3
#: Seconds before the end of a drain from which on requests are refused: their answers may come
#: too late.
REFUSAL_SECONDS = 0.5
#: Seconds before the end of a drain at which requests that are still open are ended, so that their
#: clients have the answer before the process is gone.
LAST_ANSWER_SECONDS = 0.25
POLL_SECONDS = 0.02


@dataclass(frozen=True)
class DrainResult:
    """How many requests a drain has refused, and method and target of those that it has ended.

    ``idle`` counts the connections that it has closed as idle.
    """

    refused: int
    ended: tuple[str, ...]
    idle: IdleCloses


async def drain_server(
    server: Server,
    get_deadline: Callable[[], float],
    now: Callable[[], float],
    is_busy: Callable[[], bool],
) -> DrainResult:
    """Stop accepting connections, and return once all are closed and ``is_busy()`` is false.

    Requests are handled until shortly before ``get_deadline()``, in seconds of ``now()``. Those
    that come later are refused. At the end, those that are open get the verdict that is true then.
    """
    await server.stop_accepting()
    ended: list[str] = []
    while now() < get_deadline() and (server.open_connections or is_busy()):
        server.close_idle_connections(IDLE_SECONDS)
        remaining = get_deadline() - now()
        if remaining <= REFUSAL_SECONDS:
            server.refuse_requests()
        if remaining <= LAST_ANSWER_SECONDS:
            ended.extend(await server.end_requests())
        await curio.sleep(POLL_SECONDS)
    # A late process may have missed the last seconds.
    ended.extend(await server.end_requests())
    if server.open_connections:
        # A connection that ends with unread bytes is reset, and may lose its last answer.
        await curio.sleep(POLL_SECONDS)
    return DrainResult(server.refused_requests, tuple(ended), server.measure_idle_closes())
