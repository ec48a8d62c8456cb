"""A runner as its owner tracks it: slots, connections, latency and health."""

from collections.abc import Callable
from typing import Any

import curio
import msgspec

from dandelionreel.backing import HostEntry
from dandelionreel.http import (
    Connection,
    ExchangeError,
    RefusedError,
    Request,
    Response,
    SendForbiddenError,
)
from dandelionreel.kernel import Clock, JsonError, decode_json
from dandelionreel.ownership import Grant, GrantLevel

SLOTS_PATH = '/.runner/slots'
HTTP_OK = 200
#: Weight of the newest response time in the moving average of response times.
LATENCY_WEIGHT = 0.1
#: If a runner's mean latency exceeds its best latency by this factor, its concurrency limit
#: is lowered.
SLOW_FACTOR = 3.0
LIMIT_DECREASE_FACTOR = 0.9
#: With each response the best latency rises by this factor, unless the response is faster.
BEST_DRIFT_FACTOR = 1.01
MIN_LIMIT = 1.0
#: A quarantined runner gets no requests. The length doubles with each quarantine up to the
#: maximum; a response resets it.
INITIAL_QUARANTINE_SECONDS = 1.0
MAX_QUARANTINE_SECONDS = 30.0
FAILURES_TO_QUARANTINE = 3
SLOT_QUERY_SECONDS = 0.5


class SlotUsage(msgspec.Struct, frozen=True):
    """A runner's report of its busy slots."""

    busy: int


class Latency:
    """Moving average and best of a runner's response times, in seconds."""

    def __init__(self) -> None:
        """Start without a measurement."""
        self.mean = 0.0
        self.best = 0.0

    def add(self, seconds: float) -> None:
        """Add the time that one response took."""
        if not self.mean:
            self.mean = self.best = seconds
            return
        self.mean += (seconds - self.mean) * LATENCY_WEIGHT
        # The best rises slowly, so that a single very short response does not
        # make all later ones count as slow.
        self.best = min(seconds, self.best * BEST_DRIFT_FACTOR)

    @property
    def is_slow(self) -> bool:
        """Return whether responses take much longer than the best one."""
        return self.mean > self.best * SLOW_FACTOR


class Runner:
    """Slots and connections of one runner; only the daemon that owns it uses them."""

    def __init__(
        self,
        entry: HostEntry,
        clock: Clock,
        answer_bytes: int,
        longest_run: float,
        user_timeout: float,
    ) -> None:
        """Track the runner of the host list entry ``entry``."""
        self.entry = entry
        self._clock = clock
        self._answer_bytes = answer_bytes
        self._longest_run = longest_run
        self._user_timeout = user_timeout
        self._idle_connections: list[Connection] = []
        self._epoch = 0
        self._limit = float(entry.slots)
        self._consecutive_failures = 0
        self._quarantined_until = 0.0
        self._quarantine_seconds = INITIAL_QUARANTINE_SECONDS
        self.latency = Latency()
        #: Slots of this daemon's requests, including those whose caller gave up.
        self.in_use = 0
        self.open_connections = 0
        #: Slots that requests of a former owner may still occupy.
        self.former_owner_slots = 0
        #: When the former owner's requests count as ended if the runner does not report its slots.
        self.former_owner_wait_until = 0.0
        #: When a refused connection or a ``connection: close`` last suggested that the endpoint
        #: leaves.
        self.leaving_seen_at = float('-inf')

    @property
    def limit(self) -> int:
        """Return the current adaptive concurrency limit."""
        return int(self._limit)

    def free_slots(self, grant: Grant) -> int:
        """Return how many more requests may be sent under the grant."""
        if self.is_quarantined():
            return 0
        free = min(self.slot_limit(grant), self.limit) - self.in_use
        # An idle connection can be closed in favour of a new one.
        busy_connections = self.open_connections - len(self._idle_connections)
        return max(0, min(free, self.entry.connections - busy_connections))

    def slot_limit(self, grant: Grant) -> int:
        """Return how many slots this daemon may occupy under the grant."""
        if grant.level is GrantLevel.NONE or grant.epoch != self._epoch:
            # ``start_ownership`` has not yet counted the former owner's slots.
            return 0
        slots = self.entry.slots
        half = slots // 2
        if grant.level is GrantLevel.WHOLE:
            return slots - self.former_owner_slots
        if grant.level is GrantLevel.OWN_HALF:
            return half
        return min(half, slots - max(self.former_owner_slots, half))

    def is_quarantined(self) -> bool:
        """Return whether the runner gets no requests now because of recent failures."""
        return self._clock.monotonic() < self._quarantined_until

    def start_ownership(self, grant: Grant, *, clean_handover: bool) -> None:
        """Begin to use the runner under a new grant of its shard.

        Unless the handover was clean, all slots count as occupied by the former
        owner until ``await_former_owner`` finds them free.
        """
        self._epoch = grant.epoch
        if not clean_handover:
            self.former_owner_slots = self.entry.slots
            self.former_owner_wait_until = self._clock.monotonic() + self._longest_run

    async def await_former_owner(self) -> None:
        """Poll the runner until the former owner occupies no more slots.

        If the runner does not report its slots, they count as free after the time
        of the longest run.
        """
        idle_answers = 0
        while self.former_owner_slots:
            await curio.sleep(SLOT_QUERY_SECONDS)
            busy = await self._query_busy_slots()
            if busy is None:
                if self._clock.monotonic() >= self.former_owner_wait_until:
                    self.former_owner_slots = 0
                continue
            self.former_owner_slots = max(0, busy - self.in_use)
            # A request of the former owner may have been in transit at the
            # first idle response, so two in a row are required.
            idle_answers = 0 if self.former_owner_slots else idle_answers + 1
            if idle_answers == 1:
                self.former_owner_slots = 1

    async def send_request(
        self,
        request: Request,
        timeout: float,
        on_release: Callable[[], Any],
        *,
        new_connection: bool,
        may_send: Callable[[], bool],
    ) -> Response:
        """Send a request and return its whole response; raises ``ExchangeError``.

        The caller has counted the slot in ``in_use``. The slot is released, and
        ``on_release`` awaited, once the runner is known to have finished. After a
        timeout that is when the late response arrives, not when the caller stops
        waiting.
        """
        exchange = _Exchange(
            self, request, on_release, new_connection=new_connection, may_send=may_send
        )
        task = await curio.spawn(exchange.run, self._longest_run, daemon=True)
        await curio.ignore_after(timeout, exchange.done.wait)
        if exchange.response is not None:
            return exchange.response
        if exchange.error is not None:
            raise exchange.error
        if not exchange.sent:
            await task.cancel(blocking=False)
        raise ExchangeError('no answer in time', sent=exchange.sent)

    async def close_idle_connections(self) -> None:
        """Close all idle connections."""
        idle = self._idle_connections
        self._idle_connections = []
        for connection in idle:
            self.open_connections -= 1
            await connection.close()

    async def open_connection(self, *, new_connection: bool) -> Connection:
        """Return an idle connection, or a new one; raises ``ExchangeError``."""
        while self._idle_connections and not new_connection:
            connection = self._idle_connections.pop()
            if connection.is_open:
                return connection
            self.open_connections -= 1
            await connection.close()
        if self._idle_connections and self.open_connections >= self.entry.connections:
            self.open_connections -= 1
            await self._idle_connections.pop().close()
        connection = Connection(self.entry.address, self.entry.port, self._answer_bytes)
        self.open_connections += 1
        try:
            await connection.open(self._user_timeout, self._user_timeout)
        except BaseException:
            self.open_connections -= 1
            await connection.close()
            raise
        return connection

    async def return_connection(self, connection: Connection, *, reusable: bool) -> None:
        """Keep a reusable connection for later requests; close any other."""
        if reusable and connection.is_open:
            self._idle_connections.append(connection)
            return
        self.open_connections -= 1
        await connection.close()

    def record_response(self, seconds: float, response: Response) -> None:
        """Update latency, health and the concurrency limit from a response."""
        self.latency.add(seconds)
        self._consecutive_failures = 0
        self._quarantine_seconds = INITIAL_QUARANTINE_SECONDS
        if self.latency.is_slow:
            self._limit = max(MIN_LIMIT, self._limit * LIMIT_DECREASE_FACTOR)
        else:
            self._limit = min(float(self.entry.slots), self._limit + 1 / self._limit)
        if response.header('connection').lower() == 'close':
            self.leaving_seen_at = self._clock.monotonic()

    def record_failure(self, error: ExchangeError) -> None:
        """Update health from a failure; a refused connection suggests that the endpoint leaves."""
        if isinstance(error, SendForbiddenError):
            return
        if isinstance(error, RefusedError):
            self.leaving_seen_at = self._clock.monotonic()
        self._consecutive_failures += 1
        if self._consecutive_failures >= FAILURES_TO_QUARANTINE or isinstance(error, RefusedError):
            self._quarantined_until = self._clock.monotonic() + self._quarantine_seconds
            self._quarantine_seconds = min(self._quarantine_seconds * 2, MAX_QUARANTINE_SECONDS)

    async def _query_busy_slots(self) -> int | None:
        connection = Connection(self.entry.address, self.entry.port, self._answer_bytes)
        try:
            await connection.open(SLOT_QUERY_SECONDS, SLOT_QUERY_SECONDS)
            response = await connection.exchange(Request('GET', SLOTS_PATH), SLOT_QUERY_SECONDS)
            if response.status != HTTP_OK:
                return None
            return decode_json(response.body, SlotUsage).busy
        except RefusedError:
            return 0
        except (ExchangeError, JsonError):
            return None
        finally:
            await connection.close()


class _Exchange:
    """One request on one connection, completed even if the caller gives up."""

    def __init__(
        self,
        runner: Runner,
        request: Request,
        on_release: Callable[[], Any],
        *,
        new_connection: bool,
        may_send: Callable[[], bool],
    ) -> None:
        self._runner = runner
        self._request = request
        self._on_release = on_release
        self._new_connection = new_connection
        self._may_send = may_send
        self.done = curio.Event()
        self.response: Response | None = None
        self.error: ExchangeError | None = None
        self.sent = False

    async def run(self, longest_run: float) -> None:
        runner = self._runner
        try:
            await self._run_exchange(longest_run)
        except ExchangeError as error:
            self.error = error
            runner.record_failure(error)
            await self.done.set()
            if error.sent and not isinstance(error, RefusedError):
                # The runner may still be working although the connection is
                # closed; the slot stays occupied until the runner reports fewer
                # busy slots than are counted here, at most for the longest run.
                await self._wait_for_slot_release(longest_run)
        finally:
            runner.in_use -= 1
            await self.done.set()
            await self._on_release()

    async def _run_exchange(self, longest_run: float) -> None:
        runner = self._runner
        started_at = runner._clock.monotonic()
        connection = await runner.open_connection(new_connection=self._new_connection)
        finished = False
        try:
            self.response = await connection.exchange(
                self._request, longest_run, self._check_may_send
            )
            finished = True
        finally:
            await runner.return_connection(connection, reusable=finished)
        runner.record_response(runner._clock.monotonic() - started_at, self.response)
        await self.done.set()

    def _check_may_send(self) -> bool:
        self.sent = self._may_send()
        return self.sent

    async def _wait_for_slot_release(self, longest_run: float) -> None:
        until = self._runner._clock.monotonic() + longest_run
        while self._runner._clock.monotonic() < until:
            busy = await self._runner._query_busy_slots()
            if busy is not None and busy < self._runner.in_use:
                return
            await curio.sleep(SLOT_QUERY_SECONDS)
