"""Splits JSON arrays and objects into their parts, without decoding the parts.

The decoder of ``msgspec`` rejects a whole document if one part of it is nested too deeply. The
other parts can still be used.
"""

import re
from collections.abc import Iterator

#: Strings, which may contain brackets, the characters that delimit parts, and a quotation mark of a
#: string without an end.
_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[\]{},:"]', re.DOTALL)
_QUOTATION_MARK = b'"'
_OPENING = frozenset((b'[', b'{'))
_CLOSING = frozenset((b']', b'}'))
_SEPARATORS = frozenset((b',', b':'))


def split_parts(document: bytes) -> list[bytes]:
    """Return the elements of a JSON array, or the names and values of an object in turn.

    The parts themselves may be invalid. Raises ``ValueError`` if the document does not end.
    """
    parts: list[bytes] = []
    depth = 0
    start = 0
    for token in _find_tokens(document):
        mark = token[0]
        depth += (mark in _OPENING) - (mark in _CLOSING)
        if depth == 1 and mark in _OPENING:
            start = token.end()
            continue
        if depth == 0 or (depth == 1 and mark in _SEPARATORS):
            parts.append(document[start : token.start()].strip())
            start = token.end()
        if depth == 0:
            return [] if parts == [b''] else parts
    raise ValueError('the document does not end')


def _find_tokens(document: bytes) -> Iterator[re.Match[bytes]]:
    for token in _TOKEN.finditer(document):
        if token[0] == _QUOTATION_MARK:
            raise ValueError('a string does not end')
        yield token


def find_member(document: bytes, name: str) -> bytes:
    """Return the value of a member of a JSON object; raises ``ValueError`` without one."""
    parts = split_parts(document)
    value_by_name = dict(zip(parts[::2], parts[1::2], strict=False))
    found = value_by_name.get(f'"{name}"'.encode())
    if found is None:
        raise ValueError(f'{name} is missing')
    return found
