"""Readiness of a daemon, and the sequence of its shutdown."""

import math
from collections.abc import Callable
from dataclasses import asdict

import curio

from dandelionreel.backing import LogError, StreamReader, StreamWriter
from dandelionreel.contracts import ContractProjection
from dandelionreel.http import DrainResult, Server, drain_server
from dandelionreel.kernel import Clock, Journal, Part, Settings
from dandelionreel.ownership import Left, ShardClaimer

POLL_SECONDS = 0.1
LEAVE_WRITE_SECONDS = 2.0
#: Seconds in which open requests are ended once the waits of the drain are skipped.
SKIPPED_DRAIN_SECONDS = 0.5


class Lifecycle:
    """Tracks readiness from the first read of the log on, and drains the daemon at its end."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cell_reader: StreamReader,
        zone_reader: StreamReader,
        contracts: ContractProjection,
        journal: Journal,
    ) -> None:
        """Derive readiness from the readers and the contracts."""
        self._settings = settings
        self._clock = clock
        self._cell_reader = cell_reader
        self._zone_reader = zone_reader
        self._contracts = contracts
        self._journal = journal
        self.stopping = False
        #: When the drain ends, in monotonic seconds.
        self._drain_deadline = math.inf
        self.stop_requested = curio.Event()
        #: Set once the gossip of a peer shows the same contracts as this daemon knows.
        self.peer_contracts_match = False

    def reasons_not_ready(self) -> tuple[str, ...]:
        """Return why the load balancer should send no requests, empty if it may send them."""
        reasons = []
        if self.stopping:
            reasons.append('stopping')
        if not self.knows_contracts():
            reasons.append('neither the log nor a peer has told the contracts in force')
        return tuple(reasons)

    def knows_contracts(self) -> bool:
        """Return whether the contracts in force are known from the log or a peer.

        A daemon that lacks the newest contract would enforce an outdated one.
        """
        return self._cell_reader.caught_up or self.peer_contracts_match

    async def request_stop(self) -> None:
        """Begin a graceful stop; a second call skips the waits of the drain."""
        if self.stopping:
            skipped_deadline = self._clock.monotonic() + SKIPPED_DRAIN_SECONDS
            self._drain_deadline = min(self._drain_deadline, skipped_deadline)
        self.stopping = True
        await self.stop_requested.set()

    async def drain(
        self,
        claimer: ShardClaimer,
        in_flight: 'InFlightCounter',
        zone_writer: StreamWriter,
        cell_writer: StreamWriter,
        own_member: str,
        callers: Server,
    ) -> None:
        """Report not ready, hand over all shards, finish the requests and write leave records.

        Once the load balancer must have noticed, ``callers`` accepts no connections any more, and
        closes those that it has after their answers.
        """
        timings = self._settings.timings
        self._log_load('is stopping and reports not ready.', callers)
        await self._wait_unless_skipped(timings.drain_balancer_lag)
        claimer.draining = True
        self._drain_deadline = min(
            self._drain_deadline, self._clock.monotonic() + timings.drain_limit
        )
        self._log_load('stops accepting connections.', callers)
        drained = await drain_server(
            callers,
            lambda: self._drain_deadline,
            self._clock.monotonic,
            lambda: bool(in_flight.count() or claimer.owned_claims()),
        )
        for request in drained.ended:
            self._journal.log(Part.LIFE, f'ends {request} at the end of its drain.')
        await self._write_leave_records(claimer, zone_writer, cell_writer, own_member)
        # Peers may have forwarded requests before they read the leave records.
        while in_flight.count() and self._clock.monotonic() < self._drain_deadline:
            await curio.sleep(POLL_SECONDS)
        self._log_end(callers, drained)

    def _log_end(self, callers: Server, drained: DrainResult) -> None:
        for request in drained.idle.crossed_requests:
            self._journal.log(Part.LIFE, f'refuses {request}, sent as its connection was closed.')
        for request in callers.list_open_requests():
            self._journal.log(Part.LIFE, f'stops without an answer to {request}.')
        self._log_load('has stopped.', callers, refused=drained.refused, **drained.idle.counts())

    def _log_load(self, sentence: str, callers: Server, **fields: float) -> None:
        self._journal.log(Part.LIFE, sentence, **fields, **asdict(callers.measure_load()))

    async def _write_leave_records(
        self,
        claimer: ShardClaimer,
        zone_writer: StreamWriter,
        cell_writer: StreamWriter,
        own_member: str,
    ) -> None:
        # Only a daemon without shards may write that it has left: after that record the
        # next owner of a shard would not wait for the effects of this daemon's last messages.
        if claimer.owned_claims():
            self._journal.log(Part.LIFE, 'is stopping with shards that were not handed over.')
            return
        for writer in (zone_writer, cell_writer):
            try:
                await writer.write(Left(own_member), LEAVE_WRITE_SECONDS)
            except LogError as error:
                self._journal.log(Part.LIFE, f'could not write the leave record: {error}.')

    async def _wait_unless_skipped(self, seconds: float) -> None:
        deadline = self._clock.monotonic() + seconds
        while self._clock.monotonic() < min(deadline, self._drain_deadline):
            await curio.sleep(POLL_SECONDS)


class InFlightCounter:
    """Counts the requests that must be finished before the daemon may exit."""

    def __init__(self) -> None:
        """Start with no sources."""
        self._sources: list[Callable[[], int]] = []

    def add(self, source: Callable[[], int]) -> None:
        """Count what ``source()`` returns."""
        self._sources.append(source)

    def count(self) -> int:
        """Return the total over all sources."""
        return sum(source() for source in self._sources)
