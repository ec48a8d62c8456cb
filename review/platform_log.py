"""A small stand-in for the platform's store, as the users' pages describe it.

It keeps keyed topics in memory, checks the limits of the pages on the size of records and calls,
and fences producers by their epoch.
"""

import asyncio
import base64
import json
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

#: Limits of the store, as a small deployment's settings file gives them.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
APPEND_SECONDS = 0.001
PAGE_RECORDS = 500
KILOBYTE = 1024
MILLISECONDS = 1000
LENGTH = struct.Struct('>I')
HEADER = struct.Struct('>QQ')
#: Answers to the latest appends of a producer, which a repeat receives again.
REPEATED_APPENDS = 5

HTTP_OK = 200
HTTP_INVALID = 400
HTTP_CONFLICT = 409
HTTP_PRECONDITION = 412

Reply = tuple[int, bytes]


def make_reply(document: dict, status: int = HTTP_OK) -> Reply:
    """Return a response with a JSON body."""
    return status, json.dumps(document).encode()


@dataclass
class Topic:
    """The records of a topic's only partition, the newest of each key, and its producer."""

    records: list[bytes] = field(default_factory=list)
    offset_by_key: dict[bytes, int] = field(default_factory=dict)
    epoch: int = 0
    next_sequence: int | None = None
    reply_by_sequence: dict[int, Reply] = field(default_factory=dict)
    grown: asyncio.Condition = field(default_factory=asyncio.Condition)
    appending: asyncio.Lock = field(default_factory=asyncio.Lock)

    def add(self, record: bytes) -> None:
        """Append a record that begins with the length of its key."""
        key = record[1 : 1 + record[0]]
        self.offset_by_key[key] = len(self.records)
        self.records.append(record)


class PlatformLog:
    """The store: appends, reads that wait, and the newest record of each key."""

    def __init__(self) -> None:
        """Start without topics."""
        self._topic_by_name: dict[str, Topic] = {}
        #: Refused appends as (topic, size of the largest record).
        self.refused_appends: list[tuple[str, int]] = []
        #: When the first of them came, in monotonic seconds.
        self.refused_at = float('inf')

    def topic(self, name: str) -> Topic:
        """Return a topic; it is created on first use."""
        return self._topic_by_name.setdefault(name, Topic())

    async def put(self, name: str, key: str, document: dict | None) -> None:
        """Write a record as the operator or a runner does; ``None`` deletes the key."""
        topic = self.topic(name)
        content = b'' if document is None else json.dumps(document).encode()
        topic.add(bytes([len(key)]) + key.encode() + content)
        async with topic.grown:
            topic.grown.notify_all()

    async def answer(self, path: str, query: dict[str, str], body: bytes) -> Reply:
        """Answer one call."""
        topic = self.topic(query['topic'])
        if path == '/v1/log-append':
            return await self._append(topic, query, body)
        if path == '/v1/log-read':
            return await _read(topic, query)
        return _list_newest(topic, query)

    async def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> Reply:
        records = list(_split_records(body))
        largest = max((len(record) for record in records), default=0)
        if largest > RECORD_BYTES or len(body) > REQUEST_BYTES:
            self.refused_appends.append((query['topic'], largest))
            self.refused_at = min(self.refused_at, time.monotonic())
            return make_reply({'reason': 'size'}, HTTP_INVALID)
        async with topic.appending:
            await asyncio.sleep(APPEND_SECONDS)
            reply = _check_producer(topic, query) or _check_end(topic, query)
            if reply is not None:
                return reply
            reply = make_reply(
                {'offset': len(topic.records), 'end': len(topic.records) + len(records)}
            )
            for record in records:
                topic.add(record)
            _note_producer(topic, query, reply)
        async with topic.grown:
            topic.grown.notify_all()
        return reply


def _split_records(body: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(body):
        start = position + LENGTH.size
        position = start + LENGTH.unpack_from(body, position)[0]
        yield body[start:position]


def _check_producer(topic: Topic, query: dict[str, str]) -> Reply | None:
    if 'epoch' not in query:
        return None
    epoch, sequence = int(query['epoch']), int(query['sequence'])
    if epoch < topic.epoch:
        return make_reply({'reason': 'fenced'}, HTTP_CONFLICT)
    if epoch > topic.epoch:
        return None
    first_reply = topic.reply_by_sequence.get(sequence)
    if first_reply is not None:
        return first_reply
    if topic.next_sequence is not None and sequence != topic.next_sequence:
        return make_reply({'reason': 'seq', 'sequence': topic.next_sequence}, HTTP_CONFLICT)
    return None


def _check_end(topic: Topic, query: dict[str, str]) -> Reply | None:
    end = len(topic.records)
    if 'at' in query and int(query['at']) != end:
        return make_reply({'end': end}, HTTP_PRECONDITION)
    return None


def _note_producer(topic: Topic, query: dict[str, str], reply: Reply) -> None:
    if 'epoch' not in query:
        return
    if int(query['epoch']) > topic.epoch:
        topic.reply_by_sequence.clear()
    topic.epoch = int(query['epoch'])
    sequence = int(query['sequence'])
    topic.next_sequence = sequence + 1
    topic.reply_by_sequence[sequence] = reply
    topic.reply_by_sequence.pop(sequence - REPEATED_APPENDS, None)


async def _read(topic: Topic, query: dict[str, str]) -> Reply:
    start = int(query['from'])
    seconds = int(query.get('wait_ms', '0')) / MILLISECONDS
    if start >= len(topic.records) and seconds:
        await _wait_for_records(topic, start, seconds)
    left = int(query.get('max_kb', KILOBYTE)) * KILOBYTE
    taken = [HEADER.pack(len(topic.records), 0)]
    for record in topic.records[start:]:
        left -= LENGTH.size + len(record)
        if left < 0 and len(taken) > 1:
            break
        taken.append(LENGTH.pack(len(record)) + record)
    return HTTP_OK, b''.join(taken)


async def _wait_for_records(topic: Topic, start: int, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds), topic.grown:
            await topic.grown.wait_for(lambda: start < len(topic.records))
    except TimeoutError:
        return


def _list_newest(topic: Topic, query: dict[str, str]) -> Reply:
    after = query.get('depends_on', '').encode()
    page = []
    size = 0
    has_more = False
    for key in sorted(topic.offset_by_key):
        offset = topic.offset_by_key[key]
        content = topic.records[offset][1 + len(key) :]
        if key <= after or not content:
            continue
        if len(page) == PAGE_RECORDS or size > KILOBYTE * KILOBYTE:
            has_more = True
            break
        size += len(content)
        encoded = base64.b64encode(content).decode()
        page.append({'key': key.decode(), 'value': encoded, 'offset': offset})
    return make_reply({'items': page, 'has_more': has_more, 'end': len(topic.records)})
