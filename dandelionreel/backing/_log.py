"""Interface to the platform's append-only log."""

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from dandelionreel.kernel import Verdict


@dataclass(frozen=True)
class LogBatch:
    """The records that one read returned, starting at ``offset``.

    ``tail`` is the offset that the next append will get; the batch reached
    the end of the stream if ``next_offset`` equals it.
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
        """Return whether the batch reached the end of the stream."""
        return self.next_offset >= self.tail


class LogError(Exception):
    """An append or a read failed; ``verdict`` says whether it may have taken effect."""

    def __init__(self, message: str, verdict: Verdict) -> None:
        """Set the message and the verdict."""
        super().__init__(message)
        self.verdict = verdict


class LogTruncatedError(Exception):
    """The requested records have expired; ``first`` is the oldest available offset."""

    def __init__(self, first: int) -> None:
        """Set the oldest offset that can be read."""
        super().__init__(f'records before {first} have expired')
        self.first = first


class LogService(abc.ABC):
    """Streams of JSON records with consecutive offsets."""

    @abc.abstractmethod
    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records atomically; return the offset of the first.

        Raises ``LogError``; with verdict ``UNKNOWN`` they may have been appended.
        """

    @abc.abstractmethod
    async def read(self, stream: str, offset: int, wait: float) -> LogBatch:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds for the first.

        Raises ``LogError`` or ``LogTruncatedError``.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
