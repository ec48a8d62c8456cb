"""The platform's metadata store: keyed topics over HTTP."""

import base64
import struct
from collections.abc import Sequence
from urllib.parse import urlencode

import msgspec

from dandelionreel.cell import (
    ConflictError,
    FencedError,
    KeyedRecord,
    RecordBatch,
    RecordsExpired,
    StoreError,
    Topic,
    WriterFence,
)
from dandelionreel.http import Answer, Channel, ExchangeError, Request
from dandelionreel.kernel import Verdict
from dandelionreel.platform._settings import Address

#: The operator's records.
OPERATOR_TOPIC = 'keyed.op'
#: What runners say about themselves.
RUNNERS_TOPIC = 'keyed.servers'
#: This system's own records.
CELL_TOPIC = 'keyed.cell'
#: All writers of the owner's records share one name; the epoch tells them apart.
OWNER_PRODUCER = 'owner'

#: Seconds. The store answers in 4 ms; when slowed 60 times in about 0.25 s.
READ_TIMEOUT = 1.2
#: Kilobytes of one read.
READ_KB = 1024

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_PRECONDITION = 412
NOT_DONE = frozenset((400, 403, 404, 429, 503, 507))
MILLISECONDS = 1000

LENGTH = struct.Struct('>I')
#: A read's answer begins with the topic's end and its first kept offset.
READ_HEAD = struct.Struct('>QQ')


class _Appended(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ''


class _Entry(msgspec.Struct, rename={'content': 'value'}):
    key: str
    content: str = ''
    offset: int = -1


class _Page(msgspec.Struct, rename={'entries': 'items'}):
    entries: list[_Entry]
    end: int
    has_more: bool = False


def encode_records(records: Sequence[KeyedRecord]) -> bytes:
    """Return the body of an append: each record with its length and its key."""
    body = bytearray()
    for record in records:
        key = record.key.encode()
        content = record.content or b''
        body += LENGTH.pack(1 + len(key) + len(content))
        body.append(len(key))
        body += key
        body += content
    return bytes(body)


def decode_batch(raw: bytes, offset: int) -> RecordBatch:
    """Return the records of a read that asked for ``offset``."""
    end, first = READ_HEAD.unpack_from(raw)
    position = READ_HEAD.size
    records: list[KeyedRecord] = []
    while position + LENGTH.size <= len(raw):
        length = LENGTH.unpack_from(raw, position)[0]
        position += LENGTH.size
        records.append(_decode_record(raw[position : position + length], offset + len(records)))
        position += length
    return RecordBatch(tuple(records), offset + len(records), max(end, first))


def _decode_record(raw: bytes, offset: int) -> KeyedRecord:
    key_length = raw[0]
    key = raw[1 : 1 + key_length].decode()
    content = raw[1 + key_length :]
    return KeyedRecord(key, content or None, offset)


class StoreTopic(Topic):
    """One topic; appends and waiting reads have a connection each.

    A read waits at the store for news, and an append must not wait behind it.
    """

    def __init__(self, name: str, store: Address) -> None:
        """Use the topic ``name`` of the store at that address."""
        self._name = name
        self._writes = Channel(store.host, store.port, 'store')
        self._reads = Channel(store.host, store.port, 'store')

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout: float,
        fence: WriterFence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append all or none; return the first offset."""
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
        answer = await _exchange(self._writes, request, timeout)
        if answer.status == HTTP_OK:
            return msgspec.json.decode(answer.body, type=_Appended).offset
        raise _append_error(answer)

    async def read(self, offset: int, wait: float) -> RecordBatch:
        """Return records from ``offset`` on."""
        fields = {
            'topic': self._name,
            'part': 0,
            'from': offset,
            'max_kb': READ_KB,
            'wait_ms': int(wait * MILLISECONDS),
        }
        request = Request('GET', f'/v1/log-read?{urlencode(fields)}')
        answer = await _exchange(self._reads, request, READ_TIMEOUT + wait)
        if answer.status == HTTP_GONE:
            raise RecordsExpired(f'records of {self._name} before {offset} are gone')
        if answer.status != HTTP_OK:
            raise _read_error(answer)
        return decode_batch(answer.body, offset)

    async def snapshot(self) -> RecordBatch:
        """Return the newest record of each key.

        Pages are read one after the other, so the batch goes on from the end
        that the first page named: what changed meanwhile is read again.
        """
        records: list[KeyedRecord] = []
        end = None
        last_key = ''
        while True:
            page = await self._read_page(last_key)
            if end is None:
                end = page.end
            for entry in page.entries:
                content = base64.b64decode(entry.content)
                records.append(KeyedRecord(entry.key, content or None, entry.offset))
            if not page.has_more or not page.entries:
                return RecordBatch(tuple(records), end, end)
            last_key = page.entries[-1].key

    async def close(self) -> None:
        """Close both connections."""
        await self._writes.close()
        await self._reads.close()

    async def _read_page(self, last_key: str) -> _Page:
        fields: dict[str, object] = {'topic': self._name, 'part': 0}
        if last_key:
            # Misleading name: the page goes on behind this key.
            fields['depends_on'] = last_key
        request = Request('GET', f'/v1/log-newest?{urlencode(fields)}')
        answer = await _exchange(self._reads, request, READ_TIMEOUT)
        if answer.status != HTTP_OK:
            raise _read_error(answer)
        return msgspec.json.decode(answer.body, type=_Page)


async def _exchange(channel: Channel, request: Request, timeout: float) -> Answer:
    try:
        return await channel.exchange(request, timeout)
    except ExchangeError as error:
        verdict = Verdict.UNKNOWN if error.sent else Verdict.NOT_RUN
        raise StoreError(f'the store is out of reach: {error}', verdict) from error


def _append_error(answer: Answer) -> StoreError:
    if answer.status == HTTP_PRECONDITION:
        return ConflictError('the topic has grown meanwhile', Verdict.NOT_RUN)
    if answer.status == HTTP_CONFLICT:
        reason = msgspec.json.decode(answer.body, type=_Appended).reason
        return FencedError(f'another writer was there: {reason}', Verdict.NOT_RUN)
    verdict = Verdict.NOT_RUN if answer.status in NOT_DONE else Verdict.UNKNOWN
    return StoreError(f'the store answered {answer.status}', verdict)


def _read_error(answer: Answer) -> StoreError:
    return StoreError(f'the store answered {answer.status}', Verdict.NOT_RUN)
