"""The log service over HTTP."""

from collections.abc import Sequence

import msgspec

from dandelionreel.backing._log import (
    LogBatch,
    LogError,
    LogService,
    LogTruncatedError,
)
from dandelionreel.http import Answer, Channel, ExchangeError, Request
from dandelionreel.kernel import Endpoint, PluginKind, Verdict, plugins

HTTP_OK = 200
HTTP_GONE = 410
HTTP_REFUSED = frozenset((429, 503))
MILLISECONDS = 1000


class AppendBody(msgspec.Struct, frozen=True):
    """Body of an append."""

    records: list[msgspec.Raw]


class AppendResult(msgspec.Struct, frozen=True):
    """Answer to an append: the offset of its first record."""

    offset: int


class ReadResult(msgspec.Struct, frozen=True):
    """Answer to a read."""

    first: int
    tail: int
    offset: int
    records: list[msgspec.Raw]


@plugins.register(PluginKind.LOG, 'http')
class HttpLog(LogService):
    """One connection for appends, and one for each stream that is read.

    A read waits at the server for news; sharing its connection would make
    appends wait behind it.
    """

    def __init__(self, endpoint: Endpoint, timeout: float) -> None:
        """Reach the log at ``endpoint``; give up after ``timeout`` seconds."""
        self._endpoint = endpoint
        self._timeout = timeout
        self._append_channel_by_stream: dict[str, Channel] = {}
        self._read_channel_by_stream: dict[str, Channel] = {}

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append all records together; return the offset of the first."""
        body = msgspec.json.encode(AppendBody([msgspec.Raw(text) for text in records]))
        request = Request('POST', f'/v1/streams/{stream}/records', body=body)
        answer = await self._exchange(self._append_channel_by_stream, stream, request, 0)
        if answer.status in HTTP_REFUSED:
            raise LogError(f'the log refused ({answer.status})', Verdict.NOT_RUN)
        if answer.status != HTTP_OK:
            raise LogError(f'the log answered {answer.status}', Verdict.UNKNOWN)
        return msgspec.json.decode(answer.body, type=AppendResult).offset

    async def read(self, stream: str, offset: int, wait: float) -> LogBatch:
        """Return records from ``offset``, waiting up to ``wait`` seconds."""
        target = f'/v1/streams/{stream}/records?offset={offset}&wait_ms={int(wait * MILLISECONDS)}'
        request = Request('GET', target)
        answer = await self._exchange(self._read_channel_by_stream, stream, request, wait)
        if answer.status not in {HTTP_OK, HTTP_GONE}:
            raise LogError(f'the log answered {answer.status}', Verdict.UNKNOWN)
        result = msgspec.json.decode(answer.body, type=ReadResult)
        if answer.status == HTTP_GONE:
            raise LogTruncatedError(result.first)
        return LogBatch(result.offset, result.tail, tuple(bytes(raw) for raw in result.records))

    async def close(self) -> None:
        """Close all connections."""
        for channel in (
            *self._append_channel_by_stream.values(),
            *self._read_channel_by_stream.values(),
        ):
            await channel.close()

    async def _exchange(
        self,
        channel_by_stream: dict[str, Channel],
        stream: str,
        request: Request,
        wait: float,
    ) -> Answer:
        channel = channel_by_stream.get(stream)
        if channel is None:
            channel = Channel(self._endpoint.address, self._endpoint.port, 'log')
            channel_by_stream[stream] = channel
        try:
            return await channel.exchange(request, self._timeout + wait)
        except ExchangeError as error:
            verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_RUN
            raise LogError(f'the log is out of reach: {error}', verdict) from error
