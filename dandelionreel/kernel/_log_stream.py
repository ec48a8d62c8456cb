"""Non-blocking output of log lines with a bounded buffer."""

import os
from collections import deque

#: Upper bound of the bytes that are buffered while the reader of the log is slow.
MAX_PENDING_BYTES = 262_144


class LogStream:
    """Writes lines to a file descriptor without blocking.

    Lines that exceed the buffer are dropped and counted. With blocking writes, a
    reader of the log that stalls would block the scheduler at its next line.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which is set to non-blocking mode."""
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> int:
        """Write or buffer a line; drop it if the buffer is full."""
        self._write_pending()
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return 0
        if line:
            self._pending.append(line)
            self._pending_bytes += len(line)
            self._write_pending()
        return len(line)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        self._write_pending()

    def _write_pending(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the stream for good, so the buffer can only be dropped.
                self.dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
