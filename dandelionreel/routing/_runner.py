"""One runner as its owner sees it: slots, connections, latency, health."""

from collections.abc import Callable
from typing import Any

import curio
import msgspec

from dandelionreel.backing import HostEntry
from dandelionreel.http import (
    Answer,
    Connection,
    ExchangeError,
    ForbiddenError,
    RefusedError,
    Request,
)
from dandelionreel.kernel import Clock
from dandelionreel.ownership import Grant, GrantLevel

SLOTS_PATH = '/.runner/slots'
HTTP_OK = 200
#: Weight of the newest latency in the moving average.
NEWEST = 0.1
#: A runner whose latency is this many times its best takes fewer at a time.
SLOW_FACTOR = 3.0
DECREASE = 0.9
DRIFT = 1.01
LEAST_LIMIT = 1.0
QUARANTINE_SECONDS = 1.0
QUARANTINE_LIMIT = 30.0
FAILURES_TO_QUARANTINE = 3
PROBE_SECONDS = 0.5


class SlotUse(msgspec.Struct, frozen=True):
    """What a runner tells about its slots."""

    busy: int


class Latency:
    """Moving average and slowly rising best of a runner's answer times, in seconds."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self.mean = 0.0
        self.best = 0.0

    def note(self, seconds: float) -> None:
        """Add one answer's time."""
        if not self.mean:
            self.mean = self.best = seconds
            return
        self.mean += (seconds - self.mean) * NEWEST
        # The best drifts up, so that one very short answer long ago does not
        # make every later one look slow.
        self.best = min(seconds, self.best * DRIFT)

    @property
    def is_slow(self) -> bool:
        """Return whether answers take much longer than at best."""
        return self.mean > self.best * SLOW_FACTOR


class Runner:
    """Slots and connections of one runner; this daemon is the only one to use them."""

    def __init__(
        self,
        entry: HostEntry,
        clock: Clock,
        answer_bytes: int,
        longest_run: float,
        user_timeout: float,
    ) -> None:
        """Use the runner that ``entry`` names."""
        self.entry = entry
        self._clock = clock
        self._answer_bytes = answer_bytes
        self._longest_run = longest_run
        self._user_timeout = user_timeout
        self._idle: list[Connection] = []
        self._epoch = 0
        self._limit = float(entry.slots)
        self._failures = 0
        self._quarantined_until = 0.0
        self._quarantine = QUARANTINE_SECONDS
        self.latency = Latency()
        #: Slots that requests of this daemon hold, abandoned ones included.
        self.in_use = 0
        self.open_connections = 0
        #: Slots that requests of a former owner may still hold.
        self.foreign = 0
        self.foreign_until = 0.0
        self.sign_of_leaving_at = float('-inf')

    @property
    def limit(self) -> int:
        """Return how many requests the runner takes well at present."""
        return int(self._limit)

    def room(self, grant: Grant) -> int:
        """Return how many more requests may be sent under that grant."""
        if self.is_quarantined():
            return 0
        free = min(self.allowed(grant), self.limit) - self.in_use
        # Idle connections can be closed to make room for a new one.
        busy_connections = self.open_connections - len(self._idle)
        return max(0, min(free, self.entry.connections - busy_connections))

    def allowed(self, grant: Grant) -> int:
        """Return how many slots this daemon may hold at all under that grant."""
        if grant.level is GrantLevel.NONE or grant.epoch != self._epoch:
            # What a former owner may still have there has to be judged first.
            return 0
        slots = self.entry.slots
        half = slots // 2
        if grant.level is GrantLevel.WHOLE:
            return slots - self.foreign
        if grant.level is GrantLevel.OWN_HALF:
            return half
        return min(half, slots - max(self.foreign, half))

    def is_quarantined(self) -> bool:
        """Return whether recent failures keep work away from it."""
        return self._clock.monotonic() < self._quarantined_until

    def take_over(self, grant: Grant, *, clean: bool) -> None:
        """Count all slots as held by the former owner until they are known free."""
        self._epoch = grant.epoch
        if not clean:
            self.foreign = self.entry.slots
            self.foreign_until = self._clock.monotonic() + self._longest_run

    async def watch_foreign(self) -> None:
        """Ask the runner what is busy until nothing of a former owner is left.

        A runner that does not tell frees the slots after the longest run.
        """
        idle_seen = 0
        while self.foreign:
            await curio.sleep(PROBE_SECONDS)
            busy = await self._ask_busy()
            if busy is None:
                if self._clock.monotonic() >= self.foreign_until:
                    self.foreign = 0
                continue
            self.foreign = max(0, busy - self.in_use)
            # A request of the former owner may have been on its way when the
            # runner was asked; one quiet answer is not enough.
            idle_seen = 0 if self.foreign else idle_seen + 1
            if idle_seen == 1:
                self.foreign = 1

    async def send(
        self,
        request: Request,
        timeout: float,
        when_free: Callable[[], Any],
        *,
        fresh: bool,
        check: Callable[[], bool],
    ) -> Answer:
        """Send a request and return its whole answer; raises ``ExchangeError``.

        The caller has counted the slot in ``in_use``. It is given back, and
        ``when_free`` awaited, once the runner is known to be done: after a
        time-out that is when the late answer arrives, not when the caller
        stops waiting.
        """
        exchange = _Exchange(self, request, when_free, fresh=fresh, check=check)
        task = await curio.spawn(exchange.run, self._longest_run, daemon=True)
        await curio.ignore_after(timeout, exchange.done.wait)
        if exchange.answer is not None:
            return exchange.answer
        if exchange.error is not None:
            raise exchange.error
        if not exchange.sent:
            await task.cancel(blocking=False)
        raise ExchangeError('no answer in time', sent=exchange.sent)

    async def close_idle(self) -> None:
        """Close connections that carry nothing."""
        idle = self._idle
        self._idle = []
        for connection in idle:
            self.open_connections -= 1
            await connection.close()

    async def open_connection(self, *, fresh: bool) -> Connection:
        """Return an idle connection, or a new one; raises ``ExchangeError``."""
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
            self.open_connections -= 1
            await connection.close()
        if self._idle and self.open_connections >= self.entry.connections:
            self.open_connections -= 1
            await self._idle.pop().close()
        connection = Connection(self.entry.address, self.entry.port, self._answer_bytes)
        self.open_connections += 1
        try:
            await connection.open(self._user_timeout, self._user_timeout)
        except BaseException:
            self.open_connections -= 1
            await connection.close()
            raise
        return connection

    async def give_back(self, connection: Connection, *, reusable: bool) -> None:
        """Keep a connection that ended its exchange well; close any other."""
        if reusable and connection.is_open:
            self._idle.append(connection)
            return
        self.open_connections -= 1
        await connection.close()

    def note_answer(self, seconds: float, answer: Answer) -> None:
        """Learn from an answer."""
        self.latency.note(seconds)
        self._failures = 0
        self._quarantine = QUARANTINE_SECONDS
        if self.latency.is_slow:
            self._limit = max(LEAST_LIMIT, self._limit * DECREASE)
        else:
            self._limit = min(float(self.entry.slots), self._limit + 1 / self._limit)
        if answer.header('connection').lower() == 'close':
            self.sign_of_leaving_at = self._clock.monotonic()

    def note_failure(self, error: ExchangeError) -> None:
        """Learn from a failure; a refused connection is a sign of leaving."""
        if isinstance(error, ForbiddenError):
            return
        if isinstance(error, RefusedError):
            self.sign_of_leaving_at = self._clock.monotonic()
        self._failures += 1
        if self._failures >= FAILURES_TO_QUARANTINE or isinstance(error, RefusedError):
            self._quarantined_until = self._clock.monotonic() + self._quarantine
            self._quarantine = min(self._quarantine * 2, QUARANTINE_LIMIT)

    async def _ask_busy(self) -> int | None:
        connection = Connection(self.entry.address, self.entry.port, self._answer_bytes)
        try:
            await connection.open(PROBE_SECONDS, PROBE_SECONDS)
            answer = await connection.exchange(Request('GET', SLOTS_PATH), PROBE_SECONDS)
            if answer.status != HTTP_OK:
                return None
            return msgspec.json.decode(answer.body, type=SlotUse).busy
        except RefusedError:
            return 0
        except (ExchangeError, msgspec.MsgspecError):
            return None
        finally:
            await connection.close()


class _Exchange:
    """One request on one connection, carried through even if the caller has gone."""

    def __init__(
        self,
        runner: Runner,
        request: Request,
        when_free: Callable[[], Any],
        *,
        fresh: bool,
        check: Callable[[], bool],
    ) -> None:
        self._runner = runner
        self._request = request
        self._when_free = when_free
        self._fresh = fresh
        self._check = check
        self.done = curio.Event()
        self.answer: Answer | None = None
        self.error: ExchangeError | None = None
        self.sent = False

    async def run(self, longest_run: float) -> None:
        runner = self._runner
        try:
            await self._run(longest_run)
        except ExchangeError as error:
            self.error = error
            runner.note_failure(error)
            await self.done.set()
            if error.sent and not isinstance(error, RefusedError):
                # The runner may still be at work although the connection is
                # gone; the slot stays held until no run can last any longer.
                await self._wait_until_idle(longest_run)
        finally:
            runner.in_use -= 1
            await self.done.set()
            await self._when_free()

    async def _run(self, longest_run: float) -> None:
        runner = self._runner
        began = runner._clock.monotonic()
        connection = await runner.open_connection(fresh=self._fresh)
        finished = False
        try:
            self.answer = await connection.exchange(self._request, longest_run, self._may_leave)
            finished = True
        finally:
            await runner.give_back(connection, reusable=finished)
        runner.note_answer(runner._clock.monotonic() - began, self.answer)
        await self.done.set()

    def _may_leave(self) -> bool:
        self.sent = self._check()
        return self.sent

    async def _wait_until_idle(self, longest_run: float) -> None:
        until = self._runner._clock.monotonic() + longest_run
        while self._runner._clock.monotonic() < until:
            busy = await self._runner._ask_busy()
            if busy is not None and busy < self._runner.in_use:
                return
            await curio.sleep(PROBE_SECONDS)
