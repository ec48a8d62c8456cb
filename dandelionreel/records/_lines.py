"""Reads log files line by line; lines that can't be decoded are counted and skipped.

Logs may be truncated at both ends, contain lines of other programs, or have a prefix on
each line. None of this may abort the reading, and one very long line must not exhaust
the memory, or the tool would be killed while it reads the log that is needed.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, BinaryIO

import msgspec

#: Bytes of a line that are read; the longest valid line has some 4,000.
MAX_LINE_BYTES = 65_536
#: A Unix time that can be shown as a date: before the year 10,000.
MAX_TIMESTAMP = 253_402_300_799

Timestamp = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIMESTAMP)]


class LineHeader(msgspec.Struct):
    """The fields that decide whether a line is relevant; the others are decoded later."""

    host: str
    text: str
    timestamp: Timestamp
    message_type: str = ''
    runner: object = ''
    sampled: object = 1


@dataclass
class ReadStats:
    """Counts of what was read, and of lines that could not be decoded."""

    files: int = 0
    lines: int = 0
    size: int = 0
    bad: int = 0
    #: Position of the first bad line, as ``FILE:NUMBER``.
    first_bad: str = ''
    #: The file and the number of the line that is being read.
    name: str = ''
    number: int = 0

    def count_bad_line(self) -> None:
        """Count the current line as bad."""
        self.bad += 1
        self.first_bad = self.first_bad or f'{self.name}:{self.number}'


_DECODER = msgspec.json.Decoder(LineHeader)
#: The decoder raises ``RecursionError`` for a value that is nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def read_lines(stream: BinaryIO, name: str, stats: ReadStats) -> Iterator[tuple[bytes, LineHeader]]:
    """Yield each line's JSON object as bytes, and its header fields.

    ``name`` is the file name for ``stats``. Blank lines are not counted. Raises ``OSError``
    if the stream can't be read.
    """
    stats.files += 1
    stats.name = name
    for number, raw in enumerate(_read_raw_lines(stream, stats), 1):
        stats.number = number
        stripped = raw.strip()
        if not stripped:
            continue
        stats.lines += 1
        content = stripped[max(0, stripped.find(b'{')) :]
        line = _decode_header(content)
        if line is None:
            stats.count_bad_line()
            continue
        yield content, line


def _read_raw_lines(stream: BinaryIO, stats: ReadStats) -> Iterator[bytes]:
    """Yield raw lines; one that is too long is truncated, so that it fails to decode."""
    while True:
        raw = stream.readline(MAX_LINE_BYTES)
        if not raw:
            return
        stats.size += len(raw)
        rest = raw
        while len(rest) == MAX_LINE_BYTES and not rest.endswith(b'\n'):
            rest = stream.readline(MAX_LINE_BYTES)
            stats.size += len(rest)
        yield raw


def _decode_header(content: bytes) -> LineHeader | None:
    try:
        return _DECODER.decode(content)
    except DECODE_ERRORS:
        return None
