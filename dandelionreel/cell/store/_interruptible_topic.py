"""A topic whose reads can be interrupted by another task."""

from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import curio

from dandelionreel.cell.model import (
    KeyedRecord,
    RecordBatch,
    Topic,
    WriterFence,
)


class ReadInterrupted(Exception):
    """The read in progress was interrupted: what it would bring is no longer needed."""


class InterruptibleTopic(Topic):
    """Runs each read of a topic as a task, which another task may cancel."""

    def __init__(self, topic: Topic) -> None:
        """Read and append through ``topic``."""
        self._topic = topic
        self._read_task: Any = None

    @property
    def is_receiving(self) -> bool:
        """Return whether the answer to a read has begun and is not complete."""
        return self._topic.is_receiving

    @property
    def received_at(self) -> float:
        """Return when bytes of an answer to a read last arrived, in monotonic seconds."""
        return self._topic.received_at

    async def interrupt_read(self) -> None:
        """Let the read in progress raise ``ReadInterrupted``."""
        if self._read_task is not None:
            await self._read_task.cancel(blocking=False)

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout: float,
        fence: WriterFence | None = None,
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none; return the first offset."""
        return await self._topic.append(records, timeout, fence, expected_end)

    async def read(self, offset: int, wait: float, max_bytes: int) -> RecordBatch:
        """Return records from ``offset`` on; raises ``ReadInterrupted``."""
        return await self._run_read(self._topic.read, offset, wait, max_bytes)

    async def snapshot(self) -> RecordBatch:
        """Return the newest record of each key; raises ``ReadInterrupted``."""
        return await self._run_read(self._topic.snapshot)

    async def close(self) -> None:
        """Close connections."""
        await self._topic.close()

    async def _run_read(
        self, read: Callable[..., Coroutine[Any, Any, RecordBatch]], *arguments: Any
    ) -> RecordBatch:
        task = self._read_task = await curio.spawn(read, *arguments)
        try:
            batch: RecordBatch = await task.join()
        except curio.TaskError as error:
            if isinstance(error.__cause__, curio.TaskCancelled):
                raise ReadInterrupted from error
            if error.__cause__ is not None:
                raise error.__cause__ from None
            raise
        except BaseException:
            await task.cancel()
            raise
        finally:
            self._read_task = None
        return batch
