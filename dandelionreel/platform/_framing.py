"""Decodes the answers of the store into records, for all topics.

A record of another writer may have no key or be undecodable. It is returned with an error, so
that offsets stay correct and the other records are still used. A truncated answer counts as a
failed read, which is repeated.
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
    RecordBatch,
    StoreError,
    UnreadableError,
    UnreadableReason,
    decode_json,
)
from dandelionreel.kernel import Verdict

RECORD_LENGTH = struct.Struct('>I')
#: The response to a read starts with the end offset of the topic and its first retained offset.
READ_HEADER = struct.Struct('>QQ')


class _PageRow(msgspec.Struct, rename={'content': 'value'}, frozen=True):
    key: str
    content: str = ''
    offset: int = -1


class _PageDocument(msgspec.Struct, rename={'entries': 'items'}, frozen=True):
    entries: list[_PageRow]
    end: int
    has_more: bool = False


_PAGE_DECODER = msgspec.json.Decoder(_PageDocument)


@dataclass(frozen=True)
class RecordPage:
    """A page of the newest records of the keys; the next page starts after ``last_key``."""

    records: tuple[KeyedRecord, ...]
    end: int
    has_more: bool
    last_key: str


def decode_batch(raw: bytes, offset: int) -> RecordBatch:
    """Decode the response to a read from ``offset`` on; raises ``StoreError``.

    A truncated record at the end of the response is left to the next read.
    """
    if len(raw) < READ_HEADER.size:
        raise StoreError('the answer to a read is truncated', Verdict.NOT_RUN)
    end, first = READ_HEADER.unpack_from(raw)
    position = READ_HEADER.size
    records: list[KeyedRecord] = []
    while position + RECORD_LENGTH.size <= len(raw):
        length = RECORD_LENGTH.unpack_from(raw, position)[0]
        start = position + RECORD_LENGTH.size
        if start + length > len(raw):
            break
        position = start + length
        records.append(_decode_record(raw[start:position], offset + len(records)))
    if position < len(raw) and not records:
        raise StoreError('the answer to a read is truncated', Verdict.NOT_RUN)
    return RecordBatch(tuple(records), offset + len(records), max(end, first))


def _decode_record(raw: bytes, offset: int) -> KeyedRecord:
    try:
        key, content = _split_record(raw)
    except UnreadableError as error:
        return KeyedRecord('', None, offset, error)
    return KeyedRecord(key, content or None, offset)


def _split_record(raw: bytes) -> tuple[str, bytes]:
    if not raw:
        raise UnreadableError(UnreadableReason.FRAME, 'the record is empty')
    start = 1
    end = start + raw[0]
    if end > len(raw):
        raise UnreadableError(
            UnreadableReason.FRAME, f'the key has {raw[0]} bytes, the whole record {len(raw)}'
        )
    if end == start:
        raise UnreadableError(UnreadableReason.KEY, 'the key is empty')
    try:
        return raw[start:end].decode(), raw[end:]
    except UnicodeDecodeError as error:
        raise UnreadableError(UnreadableReason.KEY, f'the key is not UTF-8: {error}') from error


def decode_page(raw: bytes) -> RecordPage:
    """Decode a page of newest records; raises ``StoreError`` if it is not a page."""
    try:
        document = decode_json(_PAGE_DECODER, raw)
    except UnreadableError:
        return _decode_page_by_row(raw)
    records = tuple(_decode_row(row) for row in document.entries)
    return RecordPage(records, document.end, document.has_more, _find_last_key(records))


def _decode_page_by_row(raw: bytes) -> RecordPage:
    """Decode a page row by row, for a page that cannot be decoded as a whole.

    The ``msgspec`` decoder rejects a whole page if a key contains a lone surrogate or if
    some bytes are not UTF-8.
    """
    try:
        document = json.loads(raw.decode(errors='replace'))
        raw_page = msgspec.convert(document, _RawPageDocument)
    except (ValueError, RecursionError) as error:
        raise StoreError(f'a page is unreadable: {error}', Verdict.NOT_RUN) from error
    records = tuple(_decode_raw_row(row) for row in raw_page.entries)
    return RecordPage(records, raw_page.end, raw_page.has_more, _find_last_key(records))


class _RawPageDocument(msgspec.Struct, rename={'entries': 'items'}, frozen=True):
    entries: list[Any]
    end: int
    has_more: bool = False


def _decode_raw_row(raw: Any) -> KeyedRecord:
    key = raw.get('key') if isinstance(raw, dict) else None
    if not isinstance(key, str) or not _is_encodable(key):
        return KeyedRecord(
            '', None, error=UnreadableError(UnreadableReason.KEY, 'an item has no valid key')
        )
    try:
        return _decode_row(msgspec.convert(raw, _PageRow))
    except ValueError as error:
        return KeyedRecord(key, None, error=UnreadableError(UnreadableReason.FRAME, f'{error}'))


def _is_encodable(key: str) -> bool:
    """Return whether a key can be encoded as UTF-8; a lone surrogate cannot."""
    try:
        return bool(key.encode())
    except UnicodeEncodeError:
        return False


def _decode_row(row: _PageRow) -> KeyedRecord:
    if not row.key:
        return KeyedRecord(
            '', None, error=UnreadableError(UnreadableReason.KEY, 'an item has no valid key')
        )
    try:
        content = base64.b64decode(row.content, validate=True)
    except (binascii.Error, ValueError) as error:
        unreadable = UnreadableError(UnreadableReason.FRAME, f'the value is not base64: {error}')
        return KeyedRecord(row.key, None, row.offset, unreadable)
    return KeyedRecord(row.key, content or None, row.offset)


def _find_last_key(records: tuple[KeyedRecord, ...]) -> str:
    """Return the last valid key; items after it have no valid key and are read again next time."""
    return next((record.key for record in reversed(records) if record.key), '')
