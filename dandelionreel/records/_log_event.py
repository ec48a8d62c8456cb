"""One log event: a decoded log line with the fields that reports use."""

import re
from dataclasses import dataclass, field
from typing import Any

import msgspec

from dandelionreel.records._event_kinds import EventKind, classify_event
from dandelionreel.records._lines import DECODE_ERRORS

#: Fields that have attributes of their own, or say nothing about the job.
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

#: Larger than any number that hosts log, and exact as a float.
MAX_NUMBER = 9_007_199_254_740_992
#: More levels of lists and objects than hosts log.
MAX_LEVELS = 8
#: A task of a job: its occurrence, step and index.
_TASK = re.compile('[0-9]{1,9}([.][0-9]{1,9})*')


@dataclass(frozen=True)
class LogEvent:
    """A log event; ``at`` is the Unix time at its host."""

    at: float
    host: str
    kind: EventKind
    text: str
    task: str = ''
    run: int | None = None
    epoch: int | None = None
    runner: str = ''
    #: All other fields, unchanged.
    extra_fields: dict[str, Any] = field(default_factory=dict)
    #: Number of equal lines that were merged into this one.
    count: int = 1

    @property
    def sentence(self) -> str:
        """Return the text without the prefix that names its logging part."""
        return self.text.partition(': ')[2] or self.text


def decode_event(content: bytes, count: int = 1) -> LogEvent | None:
    """Return the event of a line; ``None`` if one of its fields is broken.

    The header fields were decoded before, but that does not check the encoding and the
    nesting of the line's other fields.
    """
    try:
        fields = msgspec.json.decode(content)
    except DECODE_ERRORS:
        return None
    if not _is_plausible(fields, MAX_LEVELS):
        return None
    text = fields['text']
    return LogEvent(
        float(fields['timestamp']),
        fields['host'],
        classify_event(text),
        text,
        _task_or_empty(fields.get('task')),
        _int_or_none(fields.get('run')),
        _int_or_none(fields.get('epoch')),
        _text_or_empty(fields.get('runner')),
        {name: field_value for name, field_value in fields.items() if name not in _OWN_FIELDS},
        count,
    )


def _is_plausible(field_value: Any, levels: int) -> bool:
    """Return whether a host may have logged this: no huge number, no deep nesting."""
    if isinstance(field_value, int | float):
        return abs(field_value) < MAX_NUMBER
    if not isinstance(field_value, dict | list):
        return True
    parts = field_value.values() if isinstance(field_value, dict) else field_value
    return levels > 0 and all(_is_plausible(part, levels - 1) for part in parts)


def _task_or_empty(field_value: Any) -> str:
    task = _text_or_empty(field_value)
    return task if _TASK.fullmatch(task) else ''


def _text_or_empty(field_value: Any) -> str:
    return field_value if isinstance(field_value, str) else ''


def _int_or_none(field_value: Any) -> int | None:
    return field_value if isinstance(field_value, int) else None
