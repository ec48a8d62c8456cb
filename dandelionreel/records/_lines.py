"""Lines of logs, one at a time: what can't be read is counted and left out.

Logs come cut at both ends, mixed with other programs' lines, or with something put
before each line. None of it may end the reading, nor may one endless line take all
memory: it would show as a tool that is killed while it reads the one log that matters.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import BinaryIO

import msgspec

#: Bytes of a line that are read; the longest of our own has some 4,000.
MAX_LINE_BYTES = 65_536


class LineHeader(msgspec.Struct):
    """The part of a line that says whether it matters; all else stays in its bytes."""

    host: str
    text: str
    timestamp: float
    message_type: str = ''
    runner: object = ''
    sampled: object = 1


@dataclass
class ReadStats:
    """How much was read, and what of it was no line of ours."""

    files: int = 0
    lines: int = 0
    size: int = 0
    bad: int = 0
    #: Where the first one stands that can't be read, as ``FILE:NUMBER``.
    first_bad: str = ''
    #: The file and the number of the line that is being read.
    name: str = ''
    number: int = 0

    def note_bad(self) -> None:
        """Count the line that is being read as one that can't be."""
        self.bad += 1
        self.first_bad = self.first_bad or f'{self.name}:{self.number}'


_DECODER = msgspec.json.Decoder(LineHeader)
#: A value that is nested too deep is a recursion error in the decoder.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def read_lines(stream: BinaryIO, name: str, stats: ReadStats) -> Iterator[tuple[bytes, LineHeader]]:
    """Return each line's object as bytes, and what it says of itself.

    ``name`` is the file's, for the tally. Blank lines count as none. Raises ``OSError``
    where the stream can't be read on.
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
        line = _decode(content)
        if line is None:
            stats.note_bad()
            continue
        yield content, line


def _read_raw_lines(stream: BinaryIO, stats: ReadStats) -> Iterator[bytes]:
    """Return lines; one that is too long is cut, so that it can't be read."""
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


def _decode(content: bytes) -> LineHeader | None:
    try:
        line = _DECODER.decode(content)
    except DECODE_ERRORS:
        return None
    return line if math.isfinite(line.timestamp) else None
