"""An in-memory log, for a single daemon and for tests."""

from collections.abc import Sequence

from dandelionreel.backing._log import LogBatch, LogService, LogTruncatedError
from dandelionreel.kernel import ChangeNotifier, Endpoint, PluginKind, plugins

MAX_RECORDS_PER_READ = 500


class MemoryStream:
    """Records of one stream; ``first`` is the offset of the oldest available one."""

    def __init__(self) -> None:
        """Start without records."""
        self.first = 0
        self.records: list[bytes] = []
        self.changed = ChangeNotifier()

    @property
    def tail(self) -> int:
        """Return the offset of the next append."""
        return self.first + len(self.records)

    async def append(self, records: Sequence[bytes]) -> int:
        """Append the records; return the offset of the first."""
        offset = self.tail
        self.records.extend(records)
        await self.changed.notify()
        return offset

    async def read(self, offset: int, wait: float) -> LogBatch:
        """Return records from ``offset`` on; raises ``LogTruncatedError``."""
        if offset >= self.tail:
            await self.changed.wait(self.changed.count, wait)
        if offset < self.first:
            raise LogTruncatedError(self.first)
        start = offset - self.first
        batch = tuple(self.records[start : start + MAX_RECORDS_PER_READ])
        return LogBatch(offset, self.tail, batch)

    def truncate(self, first: int) -> None:
        """Drop all records before ``first``, as a log does when their retention ends."""
        dropped = max(0, min(first, self.tail) - self.first)
        self.records = self.records[dropped:]
        self.first += dropped


@plugins.register(PluginKind.LOG, 'memory')
class MemoryLog(LogService):
    """Keeps its streams in memory; they are lost when the process ends."""

    def __init__(self, endpoint: Endpoint | None = None, timeout: float = 0) -> None:
        """Start without streams; the parameters, those of every log plug-in, are unused."""
        self.stream_by_name: dict[str, MemoryStream] = {}

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records atomically; return the offset of the first."""
        return await self.stream(stream).append(records)

    async def read(self, stream: str, offset: int, wait: float) -> LogBatch:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds for the first."""
        return await self.stream(stream).read(offset, wait)

    async def close(self) -> None:
        """Do nothing, as there is no connection."""

    def stream(self, name: str) -> MemoryStream:
        """Return the stream of that name, creating it at first use."""
        return self.stream_by_name.setdefault(name, MemoryStream())
