"""A stand-in for a runner, by default with eight slots and 64 connections.

``POST /echo`` returns the body, the ``mark`` header and the name of the runner;
the query's ``seconds`` is how long the work takes. Every request is recorded with its id.
"""

import time
from contextlib import AsyncExitStack

import curio
import msgspec

from dandelionreel.backing import HostEntry
from dandelionreel.http import (
    CloseConnection,
    Request,
    Response,
    Server,
    ServerLimits,
    json_response,
)
from standins._faults import FaultSwitch

FAULTS = '/control/faults'
RECORD = '/control/record'
SLOTS = '/.runner/slots'


class RequestRecord(msgspec.Struct):
    """One request that this runner worked on. Times are monotonic seconds."""

    runner: str
    request: str
    mark: str
    started_at: float
    ended_at: float = 0
    answered: bool = False


class RunnerRecord(msgspec.Struct):
    """All requests, and the highest number in progress at once."""

    runner: str
    slots: int
    most: int
    most_connections: int
    requests: list[RequestRecord]


class RunnerStandIn(FaultSwitch):
    """A runner on its own port."""

    def __init__(self, entry: HostEntry) -> None:
        """Prepare the runner that ``entry`` describes."""
        super().__init__()
        self.entry = entry
        self._busy = 0
        self._peak_busy = 0
        self._requests: list[RequestRecord] = []

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        server = Server(self.handle, ServerLimits(connections=self.entry.connections + 16))
        await server.start(stack, self.entry.address, self.entry.port)

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == FAULTS:
            return self.replace_faults(request)
        if request.path == RECORD:
            return json_response(self.record())
        if request.path == SLOTS:
            if self.faults.outage:
                raise CloseConnection
            return json_response({'busy': self._busy})
        await self.faults.apply_before()
        return await self._work(request)

    def record(self) -> RunnerRecord:
        """Return the requests that this runner has handled."""
        return RunnerRecord(self.entry.name, self.entry.slots, self._peak_busy, 0, self._requests)

    async def _work(self, request: Request) -> Response:
        record = RequestRecord(
            self.entry.name,
            request.header('dandelionreel-request-id'),
            request.header('mark'),
            time.monotonic(),
        )
        self._requests.append(record)
        self._busy += 1
        self._peak_busy = max(self._peak_busy, self._busy)
        try:
            await curio.sleep(float(request.query_by_name.get('seconds', '0')))
        finally:
            self._busy -= 1
            record.ended_at = time.monotonic()
        self.faults.apply_after()
        record.answered = True
        headers = [('content-type', 'application/octet-stream'), ('runner', self.entry.name)]
        headers.append(('mark', request.header('mark')))
        if self.faults.leaving:
            headers.append(('connection', 'close'))
        return Response(200, tuple(headers), request.body)
