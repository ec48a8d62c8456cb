"""One thing that was told: a line with the fields that a story is made of."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from dandelionreel.records._event_kinds import EventKind, classify_event
from dandelionreel.records._lines import DECODE_ERRORS

#: Fields that are shown in columns of their own, or that say nothing of the job.
_OWN_FIELDS = frozenset(
    (
        'host',
        'text',
        'timestamp',
        'message_type',
        'task_uuid',
        'task_level',
        'job',
        'jobs',
        'task',
        'run',
        'epoch',
        'runner',
    ),
)


@dataclass(frozen=True)
class LogEvent:
    """A line; ``at`` is its host's wall clock in seconds."""

    at: float
    host: str
    kind: EventKind
    text: str
    task: str = ''
    run: int | None = None
    epoch: int | None = None
    runner: str = ''
    #: All other fields, as they were written.
    more: dict[str, Any] = field(default_factory=dict)
    #: How many lines told the same within some seconds.
    count: int = 1

    @property
    def sentence(self) -> str:
        """Return the text without the part that wrote it."""
        return self.text.partition(': ')[2] or self.text


def decode_event(content: bytes, count: int = 1) -> LogEvent | None:
    """Return what a line tells; ``None`` where a field that was passed over is broken.

    A line is first read only as far as its few own fields, which leaves the others'
    letters and nesting unchecked.
    """
    try:
        fields = msgspec.json.decode(content)
    except DECODE_ERRORS:
        return None
    text = fields['text']
    return LogEvent(
        float(fields['timestamp']),
        fields['host'],
        classify_event(text),
        text,
        _text_or_empty(fields.get('task')),
        _number_or_none(fields.get('run')),
        _number_or_none(fields.get('epoch')),
        _text_or_empty(fields.get('runner')),
        {name: field_value for name, field_value in fields.items() if name not in _OWN_FIELDS},
        count,
    )


def _text_or_empty(found: Any) -> str:
    return found if isinstance(found, str) else ''


def _number_or_none(found: Any) -> int | None:
    return found if isinstance(found, int) else None
