"""The platform's append-only log, behind one abstract class."""

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from dandelionreel.kernel import Verdict


@dataclass(frozen=True)
class LogBatch:
    """Records from ``offset`` on, as far as one read went.

    ``tail`` is the offset that the next append will get; the batch reached
    the end of the stream when ``next_offset`` equals it.
    """

    offset: int
    tail: int
    records: tuple[bytes, ...]

    @property
    def next_offset(self) -> int:
        """Return the offset after the last record."""
        return self.offset + len(self.records)

    @property
    def reached_tail(self) -> bool:
        """Return whether nothing more was in the stream."""
        return self.next_offset >= self.tail


class LogError(Exception):
    """The log did not do what was asked; the verdict says whether it may have."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        """Keep the message and the verdict."""
        super().__init__(message)
        self.verdict = verdict


class LogTruncatedError(Exception):
    """Records at that offset have expired; ``first`` is the oldest kept."""

    def __init__(self, first: int) -> None:
        """Keep the oldest offset that can be read."""
        super().__init__(f'records before {first} have expired')
        self.first = first


class LogService(abc.ABC):
    """Streams of JSON records with offsets that grow by one."""

    @abc.abstractmethod
    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append all records together; return the offset of the first.

        Raises ``LogError``; with verdict unknown they may be there.
        """

    @abc.abstractmethod
    async def read(self, stream: str, offset: int, wait: float) -> LogBatch:
        """Return records from ``offset``, waiting up to ``wait`` seconds for one.

        Raises ``LogError`` or ``LogTruncatedError``.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Give up connections."""
