"""Unreadable records: their reasons, and how they are logged and counted.

Other writers may put anything into a topic. A decoder raises only ``UnreadableError`` for a record
that it cannot use. The caller that applies records catches it for each one, so that an unreadable
record does not affect others.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable
from typing import TypeVar

import msgspec

from dandelionreel.kernel import Clock, Journal, Part

Decoded = TypeVar('Decoded')

#: Counts an unreadable record by topic and reason.
CountUnreadable = Callable[[str, str], None]

#: Characters of a message or a key after which it is truncated in a log line.
MAX_TEXT_CHARACTERS = 120
#: Number of keys whose last logged reason is remembered. The oldest are evicted, as a writer may
#: keep adding keys.
MAX_REMEMBERED_KEYS = 4000
#: Rate limit of log lines, so that a writer that keeps adding keys cannot fill the log. It still
#: allows one bad entry for every runner of a small site.
MAX_LINES_PER_WINDOW = 20
WINDOW_SECONDS = 10.0


class UnreadableReason(enum.Enum):
    """Why a record is unreadable; the value is the label of the counter."""

    FRAME = 'frame'
    KEY = 'key'
    SYNTAX = 'syntax'
    FIELDS = 'fields'
    RANGE = 'range'
    UNNAMED = 'unnamed'
    CHANGED = 'changed'


class UnreadableError(ValueError):
    """A record cannot be read; records of other keys are not affected."""

    def __init__(self, reason: UnreadableReason, message: str) -> None:
        """Create an error with a reason and a message, truncated for log lines."""
        super().__init__(message[:MAX_TEXT_CHARACTERS])
        self.reason = reason


def decode_json(decoder: msgspec.json.Decoder[Decoded], content: bytes) -> Decoded:
    """Decode JSON; raises ``UnreadableError``.

    The decoder raises ``RecursionError`` for deep nesting, which is no ``ValueError``.
    """
    try:
        return decoder.decode(content)
    except msgspec.ValidationError as error:
        raise UnreadableError(UnreadableReason.FIELDS, f'{error}') from error
    except (ValueError, RecursionError) as error:
        raise UnreadableError(UnreadableReason.SYNTAX, f'{error}') from error


class UnreadableLog:
    """Logs which keys of one topic are unreadable, and counts all unreadable records.

    A key is logged when it becomes unreadable, when the reason changes and when it becomes
    readable again. A writer that repeats a bad record each second adds no more lines.
    """

    def __init__(
        self,
        topic: str,
        part: Part,
        clock: Clock,
        journal: Journal,
        count_unreadable: CountUnreadable | None = None,
    ) -> None:
        """Log for one topic; ``note`` counts each unreadable record."""
        self._topic = topic
        self._part = part
        self._clock = clock
        self._journal = journal
        self._count_unreadable = count_unreadable
        self._reason_by_key: OrderedDict[str, UnreadableReason] = OrderedDict()
        self._window_until = float('-inf')
        self._lines_in_window = 0
        self._suppressed_lines = 0

    def log_unreadable(self, key: str, error: UnreadableError, meaning: str) -> None:
        """Count and log an unreadable record; ``meaning`` describes the consequence."""
        if self._count_unreadable is not None:
            self._count_unreadable(self._topic, error.reason.value)
        if self._reason_by_key.get(key) is error.reason:
            return
        self._reason_by_key[key] = error.reason
        if len(self._reason_by_key) > MAX_REMEMBERED_KEYS:
            self._reason_by_key.popitem(last=False)
        self._log_key_change(key, f'cannot be read, {meaning}: {error}', error.reason)

    def log_readable(self, key: str) -> None:
        """Log that a key is readable again, if it was not."""
        if key in self._reason_by_key:
            self._log_key_change(key, 'can be read again', self._reason_by_key.pop(key))

    def forget_key(self, key: str) -> None:
        """Forget a deleted key, so that its next unreadable record is logged."""
        self._reason_by_key.pop(key, None)

    def _log_key_change(self, key: str, outcome: str, reason: UnreadableReason) -> None:
        now = self._clock.monotonic()
        if now >= self._window_until:
            self._window_until = now + WINDOW_SECONDS
            self._lines_in_window = 0
        if self._lines_in_window >= MAX_LINES_PER_WINDOW:
            self._suppressed_lines += 1
            return
        self._lines_in_window += 1
        name = key[:MAX_TEXT_CHARACTERS]
        self._journal.log(
            self._part,
            f'the record of {name!r} in {self._topic} {outcome}.',
            key=name,
            reason=reason.value,
            untold=self._suppressed_lines,
        )
        self._suppressed_lines = 0
