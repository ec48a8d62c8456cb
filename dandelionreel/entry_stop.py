"""The planned stop of an entry host, and its log lines."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict

import curio

from dandelionreel.http import Server, drain_server
from dandelionreel.kernel import Clock, Journal, Part
from dandelionreel.peers import Forward, PeerServer

#: Seconds for which a stopping host still accepts connections: the balancer removes it after
#: two failed checks, one second apart.
BALANCER_NOTICE_SECONDS = 2.5
#: Seconds between the end of a host's shutdown and the time at which it would be killed.
EXIT_MARGIN_SECONDS = 1.0
#: Least seconds for which a host handles what has arrived before it closed its listener.
MIN_DRAIN_SECONDS = 0.5
POLL_SECONDS = 0.05


class HostStop:
    """Waits for the balancer to notice the stop, and finishes open requests."""

    def __init__(
        self,
        clients: Server,
        peers: PeerServer,
        stop_grace: float,
        clock: Clock,
        journal: Journal,
    ) -> None:
        """End within ``stop_grace`` seconds, less ``EXIT_MARGIN_SECONDS``."""
        self._clients = clients
        self._peers = peers
        self._stop_grace = stop_grace
        self._clock = clock
        self._journal = journal

    async def run(
        self,
        hand_over_cell: Callable[[], Awaitable[None]],
        delete_member_record: Callable[[], Awaitable[None]],
    ) -> None:
        """Hand over the cell, wait for the balancer to notice, and finish open requests."""
        started_at = self._clock.monotonic()
        self._log_load('is stopping; it is not ready any more.')
        await hand_over_cell()
        deadline = started_at + self._stop_grace - EXIT_MARGIN_SECONDS
        accept_until = min(deadline - MIN_DRAIN_SECONDS, started_at + BALANCER_NOTICE_SECONDS)
        while self._clock.monotonic() < accept_until:
            await curio.sleep(POLL_SECONDS)
        self._log_load('stops accepting connections.')
        # The cell has been handed over or released by now.
        deletion = await curio.spawn(delete_member_record, daemon=True)
        drained = await drain_server(
            self._clients,
            lambda: deadline,
            self._clock.monotonic,
            lambda: bool(self._peers.count_in_progress(Forward)) or not deletion.terminated,
        )
        for request in drained.ended:
            self._journal.log(Part.LIFE, f'ends {request} at the end of its grace.')
        for request in drained.idle.crossed_requests:
            self._journal.log(Part.LIFE, f'refuses {request}, sent as its connection was closed.')
        for request in self._clients.list_open_requests():
            self._journal.log(Part.LIFE, f'stops without an answer to {request}.')
        seconds = round(self._clock.monotonic() - started_at, 3)
        self._log_load(
            'has stopped.', seconds=seconds, refused=drained.refused, **drained.idle.counts()
        )

    def _log_load(self, sentence: str, **fields: float) -> None:
        self._journal.log(
            Part.LIFE,
            sentence,
            **fields,
            **asdict(self._clients.measure_load()),
            forwards=self._peers.count_in_progress(Forward),
        )
