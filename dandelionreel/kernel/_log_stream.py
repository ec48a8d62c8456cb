"""Standard output for log lines: bounded, and never waited for."""

import os
from collections import deque

#: Bytes that wait at most while the reader of the logs is slow.
PENDING_BYTES = 262_144


class LogStream:
    """Writes to a descriptor without blocking; what does not fit is counted.

    A reader of the logs that stands still would otherwise stop the scheduler
    at its next line.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which does not block from now on."""
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> int:
        """Write a line, keep it for later, or drop it when too much waits."""
        self._drain()
        if self._pending_bytes + len(line) > PENDING_BYTES:
            self.dropped += 1
            return 0
        if line:
            self._pending.append(line)
            self._pending_bytes += len(line)
            self._drain()
        return len(line)

    def flush(self) -> None:
        """Pass on what the reader takes now."""
        self._drain()

    def _drain(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone for good: nobody is left to tell.
                self.dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
