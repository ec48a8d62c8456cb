"""A stand-in for the platform's log service."""

import msgspec

from dandelionreel.backing import (
    AppendBody,
    AppendResult,
    LogTruncatedError,
    MemoryLog,
    ReadResult,
)
from dandelionreel.http import Request, Response, json_response
from standins._faults import FaultSwitch

MILLISECONDS_PER_SECOND = 1000
HTTP_GONE = 410
HTTP_NOT_FOUND = 404
#: Truncates a stream: ``POST /control/truncate?stream=S&first=N``.
TRUNCATE = '/control/truncate'
FAULTS = '/control/faults'
COUNTS = '/control/counts'


class LogCounts(msgspec.Struct):
    """Counts of the requests that the log has handled."""

    appends: int = 0
    records: int = 0
    reads: int = 0


class LogStandIn(FaultSwitch):
    """Streams in memory behind the HTTP protocol of ``dandelionreel.backing``."""

    def __init__(self) -> None:
        """Start with empty streams."""
        super().__init__()
        self.log = MemoryLog()
        self.counts = LogCounts()

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == FAULTS:
            return self.replace_faults(request)
        if request.path == COUNTS:
            return json_response(self.counts)
        if request.path == TRUNCATE:
            return self._truncate(request)
        await self.faults.apply_before()
        stream = request.path.removeprefix('/v1/streams/').removesuffix('/records')
        if request.method == 'POST':
            return await self._append(stream, request)
        return await self._read(stream, request)

    async def _append(self, stream: str, request: Request) -> Response:
        body = msgspec.json.decode(request.body, type=AppendBody)
        records = [bytes(raw) for raw in body.records]
        offset = await self.log.append(stream, records)
        self.counts.appends += 1
        self.counts.records += len(records)
        self.faults.apply_after()
        return json_response(AppendResult(offset))

    async def _read(self, stream: str, request: Request) -> Response:
        self.counts.reads += 1
        query = request.query_by_name
        wait = int(query.get('wait_ms', '0')) / MILLISECONDS_PER_SECOND
        offset = int(query['offset'])
        try:
            batch = await self.log.read(stream, offset, wait)
        except LogTruncatedError as error:
            return json_response(ReadResult(error.first, error.first, error.first, []), HTTP_GONE)
        await self.faults.apply_before()
        records = [msgspec.Raw(text) for text in batch.records]
        first = self.log.stream(stream).first
        return json_response(ReadResult(first, batch.tail, batch.offset, records))

    def _truncate(self, request: Request) -> Response:
        query = request.query_by_name
        stream = self.log.stream(query['stream'])
        stream.truncate(int(query.get('first', stream.tail)))
        return json_response({'first': stream.first})
