"""Where the store's bytes become records, one place for all topics.

Another writer's record may name no key, or hold what no decoder takes. It is passed
on with the reason, so that it keeps its offset and costs no other record. An answer
that was itself cut short is a failed read: it is read again.
"""

import base64
import binascii
import json
import struct
from dataclasses import dataclass
from typing import Any

import msgspec

from dandelionreel.cell.model import (
    KeyedRecord,
    Reason,
    RecordBatch,
    StoreError,
    UnreadableError,
    decode_json,
)
from dandelionreel.kernel import Verdict

RECORD_LENGTH = struct.Struct('>I')
#: A read's answer begins with the topic's end and its first kept offset.
READ_HEADER = struct.Struct('>QQ')


class _Row(msgspec.Struct, rename={'content': 'value'}, frozen=True):
    key: str
    content: str = ''
    offset: int = -1


class _Document(msgspec.Struct, rename={'entries': 'items'}, frozen=True):
    entries: list[_Row]
    end: int
    has_more: bool = False


_DOCUMENT_DECODER = msgspec.json.Decoder(_Document)


@dataclass(frozen=True)
class Page:
    """Newest records; the next page is asked for behind ``last_key``."""

    records: tuple[KeyedRecord, ...]
    end: int
    has_more: bool
    last_key: str


def decode_batch(raw: bytes, offset: int) -> RecordBatch:
    """Return the records of a read that asked for ``offset``; raises ``StoreError``.

    A record that the answer holds only in part is left to the next read.
    """
    if len(raw) < READ_HEADER.size:
        raise StoreError('the answer to a read is cut short', Verdict.NOT_RUN)
    end, first = READ_HEADER.unpack_from(raw)
    position = READ_HEADER.size
    records: list[KeyedRecord] = []
    while position + RECORD_LENGTH.size <= len(raw):
        length = RECORD_LENGTH.unpack_from(raw, position)[0]
        begin = position + RECORD_LENGTH.size
        if begin + length > len(raw):
            break
        position = begin + length
        records.append(_decode_record(raw[begin:position], offset + len(records)))
    if position < len(raw) and not records:
        raise StoreError('the answer to a read is cut short', Verdict.NOT_RUN)
    return RecordBatch(tuple(records), offset + len(records), max(end, first))


def _decode_record(raw: bytes, offset: int) -> KeyedRecord:
    try:
        key, content = _split_record(raw)
    except UnreadableError as error:
        return KeyedRecord('', None, offset, error)
    return KeyedRecord(key, content or None, offset)


def _split_record(raw: bytes) -> tuple[str, bytes]:
    if not raw:
        raise UnreadableError(Reason.FRAME, 'it has no bytes')
    begin = 1
    end = begin + raw[0]
    if end > len(raw):
        raise UnreadableError(Reason.FRAME, f'its key has {raw[0]} bytes, it has {len(raw)}')
    if end == begin:
        raise UnreadableError(Reason.KEY, 'its key is empty')
    try:
        return raw[begin:end].decode(), raw[end:]
    except UnicodeDecodeError as error:
        raise UnreadableError(Reason.KEY, f'its key is no text: {error}') from error


def decode_page(raw: bytes) -> Page:
    """Return a page of newest records; raises ``StoreError`` when it is no page."""
    try:
        document = decode_json(_DOCUMENT_DECODER, raw)
    except UnreadableError:
        return _decode_page_by_row(raw)
    records = tuple(_decode_row(row) for row in document.entries)
    return Page(records, document.end, document.has_more, _find_last_key(records))


def _decode_page_by_row(raw: bytes) -> Page:
    """Return a page row by row, where one of them makes the page unreadable as a whole.

    The decoder that is used otherwise takes no page with half a surrogate pair in one
    key, and no bytes that are not text.
    """
    try:
        document = json.loads(raw.decode(errors='replace'))
        raw_page = msgspec.convert(document, _RawDocument)
    except (ValueError, RecursionError) as error:
        raise StoreError(f'a page cannot be read: {error}', Verdict.NOT_RUN) from error
    records = tuple(_decode_raw_row(row) for row in raw_page.entries)
    return Page(records, raw_page.end, raw_page.has_more, _find_last_key(records))


class _RawDocument(msgspec.Struct, rename={'entries': 'items'}, frozen=True):
    entries: list[Any]
    end: int
    has_more: bool = False


def _decode_raw_row(raw: Any) -> KeyedRecord:
    key = raw.get('key') if isinstance(raw, dict) else None
    if not isinstance(key, str) or not _is_encodable(key):
        return KeyedRecord('', None, error=UnreadableError(Reason.KEY, 'an item has no key'))
    try:
        return _decode_row(msgspec.convert(raw, _Row))
    except ValueError as error:
        return KeyedRecord(key, None, error=UnreadableError(Reason.FRAME, f'{error}'))


def _is_encodable(key: str) -> bool:
    """Return whether a key is text that can be written: half a surrogate pair is not."""
    try:
        return bool(key.encode())
    except UnicodeEncodeError:
        return False


def _decode_row(row: _Row) -> KeyedRecord:
    if not row.key:
        return KeyedRecord('', None, error=UnreadableError(Reason.KEY, 'an item has no key'))
    try:
        content = base64.b64decode(row.content, validate=True)
    except (binascii.Error, ValueError) as error:
        unreadable = UnreadableError(Reason.FRAME, f'it is no base64: {error}')
        return KeyedRecord(row.key, None, row.offset, unreadable)
    return KeyedRecord(row.key, content or None, row.offset)


def _find_last_key(records: tuple[KeyedRecord, ...]) -> str:
    """Return the last key that is known: items without one are read again behind it."""
    return next((record.key for record in reversed(records) if record.key), '')
