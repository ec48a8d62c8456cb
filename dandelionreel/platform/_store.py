"""HTTP client of the platform's metadata store, which has topics of keyed records."""

from collections.abc import Sequence
from urllib.parse import urlencode

import msgspec

from dandelionreel.cell.model import (
    ConflictError,
    FencedError,
    KeyedRecord,
    RecordBatch,
    RecordsExpired,
    StoreError,
    Topic,
    UnreadableError,
    WriterFence,
    decode_json,
)
from dandelionreel.http import Channel, ExchangeError, Request, Response
from dandelionreel.kernel import Verdict
from dandelionreel.platform._framing import (
    RECORD_LENGTH,
    RecordPage,
    decode_batch,
    decode_page,
)
from dandelionreel.platform._settings import Address

#: Records of the operator.
OPERATOR_TOPIC = 'keyed.op'
#: Entries that runners write about themselves.
RUNNERS_TOPIC = 'keyed.servers'
#: Records that the hosts of the cell write.
CELL_TOPIC = 'keyed.cell'
#: All owners use the same producer name; the store distinguishes them by their epoch.
OWNER_PRODUCER = 'owner'

#: Seconds for the first bytes of the answer to a read, and between any two later ones. The store
#: answers in 4 ms, or in about 0.25 s when it is 60 times as slow.
READ_TIMEOUT = 1.2
KILOBYTE = 1024

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_PRECONDITION = 412
NOT_EXECUTED_STATUSES = frozenset((400, 403, 404, 429, 503, 507))
MILLISECONDS_PER_SECOND = 1000


class _AppendReply(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ''


_APPEND_REPLY_DECODER = msgspec.json.Decoder(_AppendReply)


def encode_records(records: Sequence[KeyedRecord]) -> bytes:
    """Return the body of an append: each record with its length and its key first."""
    body = bytearray()
    for record in records:
        key = record.key.encode()
        content = record.content or b''
        body += RECORD_LENGTH.pack(1 + len(key) + len(content))
        body.append(len(key))
        body += key
        body += content
    return bytes(body)


class StoreTopic(Topic):
    """Client of one topic, with one connection for appends and one for reads.

    A read waits at the store for new records; an append must not be queued behind it.
    """

    def __init__(self, name: str, store: Address) -> None:
        """Create a client of the topic ``name`` in the store at this address."""
        self._name = name
        self._append_channel = Channel(store.host, store.port, 'store')
        self._read_channel = Channel(store.host, store.port, 'store')

    @property
    def is_receiving(self) -> bool:
        """Return whether the answer to a read has begun and is not complete."""
        return self._read_channel.is_receiving

    @property
    def received_at(self) -> float:
        """Return when bytes of an answer to a read last arrived, in monotonic seconds."""
        return self._read_channel.received_at

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout: float,
        fence: WriterFence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none; return the first offset."""
        fields: dict[str, object] = {'topic': self._name, 'part': 0}
        if expected_end is not None:
            fields['at'] = expected_end
        if fence is not None:
            fields['producer'] = OWNER_PRODUCER
            fields['epoch'] = fence.epoch
            fields['sequence'] = fence.sequence
        request = Request(
            'POST',
            f'/v1/log-append?{urlencode(fields)}',
            body=encode_records(records),
        )
        response = await _send_request(self._append_channel, request, timeout)
        if response.status == HTTP_OK:
            return _decode_append_reply(response).offset
        raise _make_append_error(response)

    async def read(self, offset: int, wait: float, max_bytes: int) -> RecordBatch:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds for some."""
        fields = {
            'topic': self._name,
            'part': 0,
            'from': offset,
            'max_kb': max_bytes // KILOBYTE,
            'wait_ms': int(wait * MILLISECONDS_PER_SECOND),
        }
        request = Request('GET', f'/v1/log-read?{urlencode(fields)}')
        response = await self._send_read(request, wait)
        if response.status == HTTP_GONE:
            raise RecordsExpired(f'records of {self._name} at offset {offset} have expired')
        if response.status != HTTP_OK:
            raise _make_read_error(response)
        return decode_batch(response.body, offset)

    async def snapshot(self) -> RecordBatch:
        """Return the newest record of each key.

        Pages are read one after the other, so the next read must start at the end offset of the
        first page to include changes made meanwhile. A page without progress raises
        ``StoreError``: it would otherwise be requested forever, and an incomplete snapshot
        would make a host forget jobs.
        """
        records: list[KeyedRecord] = []
        end = None
        last_key = ''
        while True:
            page = await self._read_page(last_key)
            if end is None:
                end = page.end
            records.extend(page.records)
            if not page.has_more or not page.records:
                return RecordBatch(tuple(records), end, end)
            if page.last_key in {'', last_key}:
                message = f'pages of {self._name} make no progress beyond the key {last_key!r}'
                raise StoreError(message, Verdict.NOT_RUN)
            last_key = page.last_key

    async def close(self) -> None:
        """Close both connections."""
        await self._append_channel.close()
        await self._read_channel.close()

    async def _read_page(self, last_key: str) -> RecordPage:
        fields: dict[str, object] = {'topic': self._name, 'part': 0}
        if last_key:
            # Despite its name, the parameter makes the page start after this key.
            fields['depends_on'] = last_key
        request = Request('GET', f'/v1/log-newest?{urlencode(fields)}')
        response = await self._send_read(request)
        if response.status != HTTP_OK:
            raise _make_read_error(response)
        return decode_page(response.body)

    async def _send_read(self, request: Request, wait: float = 0.0) -> Response:
        return await _send_request(
            self._read_channel, request, READ_TIMEOUT + wait, stall_timeout=READ_TIMEOUT
        )


async def _send_request(
    channel: Channel, request: Request, timeout: float, stall_timeout: float | None = None
) -> Response:
    try:
        return await channel.exchange(request, timeout, stall_timeout=stall_timeout)
    except ExchangeError as error:
        verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_RUN
        raise StoreError(f'the store is unreachable: {error}', verdict, error.received) from error


def _decode_append_reply(response: Response) -> _AppendReply:
    try:
        return decode_json(_APPEND_REPLY_DECODER, response.body)
    except UnreadableError as error:
        raise StoreError(
            f'the store sent an unreadable answer: {error}', Verdict.UNKNOWN
        ) from error


def _decode_reason(response: Response) -> str:
    try:
        return decode_json(_APPEND_REPLY_DECODER, response.body).reason
    except UnreadableError as error:
        return f'its reason is unreadable: {error}'


def _make_append_error(response: Response) -> StoreError:
    if response.status == HTTP_PRECONDITION:
        return ConflictError('records were appended to the topic meanwhile', Verdict.NOT_RUN)
    if response.status == HTTP_CONFLICT:
        reason = _decode_reason(response)
        return FencedError(f'fenced off by another writer: {reason}', Verdict.NOT_RUN)
    verdict = Verdict.NOT_RUN if response.status in NOT_EXECUTED_STATUSES else Verdict.UNKNOWN
    return StoreError(f'the store answered {response.status}', verdict)


def _make_read_error(response: Response) -> StoreError:
    return StoreError(f'the store answered {response.status}', Verdict.NOT_RUN)
