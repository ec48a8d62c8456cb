"""Records that cannot be read: why, and how that is told and counted.

Other writers may put anything into a topic. Whatever reads a record raises
``UnreadableError``, and nothing else, for one that it cannot use; whoever folds it
catches that for each record, so that one of them costs no other.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable
from typing import TypeVar

import msgspec

from dandelionreel.kernel import Clock, Journal, Part

Decoded = TypeVar('Decoded')

#: Counts an unreadable record by its topic and reason.
NoteUnreadable = Callable[[str, str], None]

#: Characters of a message or of a key that go into a log line.
MAX_TEXT_CHARACTERS = 120
#: Keys of which it is remembered what was logged last. A writer of ever new keys pushes out the
#: oldest.
MAX_REMEMBERED_KEYS = 4000
#: Lines in so many seconds: a writer of ever new keys must not fill the log. One
#: bad entry of every runner of a small site is still told.
MAX_LINES_PER_WINDOW = 20
WINDOW_SECONDS = 10.0


class Reason(enum.Enum):
    """Why a record cannot be read; its value labels the counter."""

    FRAME = 'frame'
    KEY = 'key'
    SYNTAX = 'syntax'
    FIELDS = 'fields'
    RANGE = 'range'
    UNNAMED = 'unnamed'
    CHANGED = 'changed'


class UnreadableError(ValueError):
    """A record that cannot be read; it changes nothing that is known but its own key."""

    def __init__(self, reason: Reason, message: str) -> None:
        """Keep the reason, and a message that is cut to a line's length."""
        super().__init__(message[:MAX_TEXT_CHARACTERS])
        self.reason = reason


def decode_json(decoder: msgspec.json.Decoder[Decoded], content: bytes) -> Decoded:
    """Return what the content says; raises ``UnreadableError``.

    Deep nesting raises ``RecursionError``, which is no ``ValueError``.
    """
    try:
        return decoder.decode(content)
    except msgspec.ValidationError as error:
        raise UnreadableError(Reason.FIELDS, f'{error}') from error
    except (ValueError, RecursionError) as error:
        raise UnreadableError(Reason.SYNTAX, f'{error}') from error


class UnreadableLog:
    """Tells which keys of one topic cannot be read, and counts all such records.

    A key is told when it becomes unreadable, when the reason changes and when it can
    be read again: a writer that repeats itself each second adds no lines.
    """

    def __init__(
        self,
        topic: str,
        part: Part,
        clock: Clock,
        journal: Journal,
        note: NoteUnreadable | None = None,
    ) -> None:
        """Count each record with ``note``."""
        self._topic = topic
        self._part = part
        self._clock = clock
        self._journal = journal
        self._note = note
        self._reason_by_key: OrderedDict[str, Reason] = OrderedDict()
        self._window_until = float('-inf')
        self._lines_in_window = 0
        self._suppressed_lines = 0

    def refuse(self, key: str, error: UnreadableError, meaning: str) -> None:
        """Count an unreadable record; ``meaning`` says what follows from it."""
        if self._note is not None:
            self._note(self._topic, error.reason.value)
        if self._reason_by_key.get(key) is error.reason:
            return
        self._reason_by_key[key] = error.reason
        if len(self._reason_by_key) > MAX_REMEMBERED_KEYS:
            self._reason_by_key.popitem(last=False)
        self._tell(key, f'cannot be read, {meaning}: {error}', error.reason)

    def accept(self, key: str) -> None:
        """Take note that a key can be read."""
        if key in self._reason_by_key:
            self._tell(key, 'can be read again', self._reason_by_key.pop(key))

    def drop(self, key: str) -> None:
        """Take note that a key has gone."""
        self._reason_by_key.pop(key, None)

    def _tell(self, key: str, outcome: str, reason: Reason) -> None:
        now = self._clock.monotonic()
        if now >= self._window_until:
            self._window_until = now + WINDOW_SECONDS
            self._lines_in_window = 0
        if self._lines_in_window >= MAX_LINES_PER_WINDOW:
            self._suppressed_lines += 1
            return
        self._lines_in_window += 1
        name = key[:MAX_TEXT_CHARACTERS]
        self._journal.tell(
            self._part,
            f'the record of {name!r} in {self._topic} {outcome}.',
            key=name,
            reason=reason.value,
            untold=self._suppressed_lines,
        )
        self._suppressed_lines = 0
