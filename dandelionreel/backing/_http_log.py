"""Client of the log service over HTTP."""

from collections.abc import Sequence

import msgspec

from dandelionreel.backing._log import (
    LogBatch,
    LogError,
    LogService,
    LogTruncatedError,
)
from dandelionreel.backing._rows import find_member, split_parts
from dandelionreel.http import Channel, ExchangeError, Request, Response
from dandelionreel.kernel import Endpoint, PluginKind, Verdict, plugins

HTTP_OK = 200
HTTP_GONE = 410
REFUSED_STATUSES = frozenset((429, 503))
MILLISECONDS_PER_SECOND = 1000


class AppendBody(msgspec.Struct, frozen=True):
    """Request body of an append."""

    records: list[msgspec.Raw]


class AppendResult(msgspec.Struct, frozen=True):
    """Response body of an append: the offset of its first record."""

    offset: int


class ReadResult(msgspec.Struct, frozen=True):
    """Response body of a read; ``first`` is the oldest offset, ``tail`` the next one."""

    first: int
    tail: int
    offset: int
    records: list[msgspec.Raw]


_READ_RESULT_DECODER = msgspec.json.Decoder(ReadResult)


@plugins.register(PluginKind.LOG, 'http')
class HttpLog(LogService):
    """Uses two connections for each stream: one for appends and one for reads.

    A read waits at the server for new records (long polling), so appends on the
    same connection would wait behind it.
    """

    def __init__(self, endpoint: Endpoint, timeout: float) -> None:
        """Access the log at ``endpoint``; requests fail after ``timeout`` seconds."""
        self._endpoint = endpoint
        self._timeout = timeout
        self._append_channel_by_stream: dict[str, Channel] = {}
        self._read_channel_by_stream: dict[str, Channel] = {}

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records atomically; return the offset of the first."""
        body = msgspec.json.encode(AppendBody([msgspec.Raw(text) for text in records]))
        request = Request('POST', f'/v1/streams/{stream}/records', body=body)
        response = await self._send_request(self._append_channel_by_stream, stream, request, 0)
        if response.status in REFUSED_STATUSES:
            raise LogError(
                f'the log service refused the append (status {response.status})', Verdict.NOT_RUN
            )
        if response.status != HTTP_OK:
            raise LogError(f'the log service returned status {response.status}', Verdict.UNKNOWN)
        try:
            return msgspec.json.decode(response.body, type=AppendResult).offset
        except (ValueError, RecursionError) as error:
            raise _make_answer_error(error) from error

    async def read(self, stream: str, offset: int, wait: float) -> LogBatch:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds for the first."""
        target = (
            f'/v1/streams/{stream}/records'
            f'?offset={offset}&wait_ms={int(wait * MILLISECONDS_PER_SECOND)}'
        )
        request = Request('GET', target)
        response = await self._send_request(self._read_channel_by_stream, stream, request, wait)
        if response.status not in {HTTP_OK, HTTP_GONE}:
            raise LogError(f'the log service returned status {response.status}', Verdict.UNKNOWN)
        decoded = _decode_read_result(response.body)
        if response.status == HTTP_GONE:
            raise LogTruncatedError(decoded.first)
        return LogBatch(decoded.offset, decoded.tail, tuple(bytes(raw) for raw in decoded.records))

    async def close(self) -> None:
        """Close all connections."""
        for channel in (
            *self._append_channel_by_stream.values(),
            *self._read_channel_by_stream.values(),
        ):
            await channel.close()

    async def _send_request(
        self,
        channel_by_stream: dict[str, Channel],
        stream: str,
        request: Request,
        wait: float,
    ) -> Response:
        channel = channel_by_stream.get(stream)
        if channel is None:
            channel = Channel(self._endpoint.address, self._endpoint.port, 'log')
            channel_by_stream[stream] = channel
        try:
            return await channel.exchange(request, self._timeout + wait)
        except ExchangeError as error:
            verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_RUN
            raise LogError(f'the log service cannot be reached: {error}', verdict) from error


def _decode_read_result(body: bytes) -> ReadResult:
    """Decode the response to a read; raises ``LogError``.

    A record that is nested too deeply makes the decoder reject the whole response.
    """
    try:
        return _READ_RESULT_DECODER.decode(body)
    except (ValueError, RecursionError):
        pass
    try:
        records = [msgspec.Raw(row) for row in split_parts(find_member(body, 'records'))]
        first, tail, offset = (
            msgspec.json.decode(find_member(body, name), type=int)
            for name in ('first', 'tail', 'offset')
        )
    except (ValueError, RecursionError) as error:
        raise _make_answer_error(error) from error
    return ReadResult(first, tail, offset, records)


def _make_answer_error(error: Exception) -> LogError:
    return LogError(f'the log service sent an unreadable answer: {error}', Verdict.UNKNOWN)
