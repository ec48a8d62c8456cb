"""A log kept in this process, for one daemon alone and for tests."""

from collections.abc import Sequence

from dandelionreel.backing._log import LogBatch, LogService, LogTruncatedError
from dandelionreel.kernel import ChangeNotifier, Endpoint, PluginKind, plugins

READ_RECORDS = 500


class MemoryStream:
    """Records of one stream; ``first`` is the offset of the oldest kept."""

    def __init__(self) -> None:
        """Start empty."""
        self.first = 0
        self.records: list[bytes] = []
        self.changed = ChangeNotifier()

    @property
    def tail(self) -> int:
        """Return the offset of the next append."""
        return self.first + len(self.records)

    async def append(self, records: Sequence[bytes]) -> int:
        """Keep the records; return the offset of the first."""
        offset = self.tail
        self.records.extend(records)
        await self.changed.notify()
        return offset

    async def read(self, offset: int, wait: float) -> LogBatch:
        """Return records from ``offset``; raises ``LogTruncatedError``."""
        if offset >= self.tail:
            await self.changed.wait(self.changed.count, wait)
        if offset < self.first:
            raise LogTruncatedError(self.first)
        start = offset - self.first
        kept = tuple(self.records[start : start + READ_RECORDS])
        return LogBatch(offset, self.tail, kept)

    def truncate(self, first: int) -> None:
        """Let all records before ``first`` expire."""
        dropped = max(0, min(first, self.tail) - self.first)
        self.records = self.records[dropped:]
        self.first += dropped


@plugins.register(PluginKind.LOG, 'memory')
class MemoryLog(LogService):
    """Nothing outlives the process."""

    def __init__(self, endpoint: Endpoint | None = None, timeout: float = 0) -> None:
        """Take the arguments of every log plug-in; neither is needed here."""
        self.stream_by_name: dict[str, MemoryStream] = {}

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append all records together; return the offset of the first."""
        return await self.stream(stream).append(records)

    async def read(self, stream: str, offset: int, wait: float) -> LogBatch:
        """Return records from ``offset``, waiting up to ``wait`` seconds."""
        return await self.stream(stream).read(offset, wait)

    async def close(self) -> None:
        """Keep everything: there is nothing to give up."""

    def stream(self, name: str) -> MemoryStream:
        """Return the stream of that name, made at first use."""
        return self.stream_by_name.setdefault(name, MemoryStream())
