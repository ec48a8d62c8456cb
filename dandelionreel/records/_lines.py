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
LONGEST_LINE = 65_536


class Line(msgspec.Struct):
    """The part of a line that says whether it matters; all else stays in its bytes."""

    host: str
    text: str
    timestamp: float
    message_type: str = ''
    runner: object = ''
    sampled: object = 1


@dataclass
class Tally:
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


_DECODER = msgspec.json.Decoder(Line)
#: A value that is nested too deep is a recursion error in the decoder.
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


def read_lines(stream: BinaryIO, name: str, tally: Tally) -> Iterator[tuple[bytes, Line]]:
    """Return each line's object as bytes, and what it says of itself.

    ``name`` is the file's, for the tally. Blank lines count as none. Raises ``OSError``
    where the stream can't be read on.
    """
    tally.files += 1
    tally.name = name
    for number, raw in enumerate(_split(stream, tally), 1):
        tally.number = number
        stripped = raw.strip()
        if not stripped:
            continue
        tally.lines += 1
        content = stripped[max(0, stripped.find(b'{')) :]
        line = _decode(content)
        if line is None:
            tally.note_bad()
            continue
        yield content, line


def _split(stream: BinaryIO, tally: Tally) -> Iterator[bytes]:
    """Return lines; one that is too long is cut, so that it can't be read."""
    while True:
        raw = stream.readline(LONGEST_LINE)
        if not raw:
            return
        tally.size += len(raw)
        rest = raw
        while len(rest) == LONGEST_LINE and not rest.endswith(b'\n'):
            rest = stream.readline(LONGEST_LINE)
            tally.size += len(rest)
        yield raw


def _decode(content: bytes) -> Line | None:
    try:
        line = _DECODER.decode(content)
    except UNREADABLE:
        return None
    return line if math.isfinite(line.timestamp) else None
