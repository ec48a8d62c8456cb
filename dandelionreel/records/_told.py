"""One thing that was told: a line with the fields that a story is made of."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from dandelionreel.records._lines import UNREADABLE
from dandelionreel.records._stages import Stage, find_stage

#: Fields that are shown in columns of their own, or that say nothing of the job.
_COLUMNS = frozenset(
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
class Told:
    """A line; ``at`` is its host's wall clock in seconds."""

    at: float
    host: str
    stage: Stage
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


def make_told(content: bytes, count: int = 1) -> Told | None:
    """Return what a line tells; ``None`` where a field that was passed over is broken.

    A line is first read only as far as its few own fields, which leaves the others'
    letters and nesting unchecked.
    """
    try:
        fields = msgspec.json.decode(content)
    except UNREADABLE:
        return None
    text = fields['text']
    return Told(
        float(fields['timestamp']),
        fields['host'],
        find_stage(text),
        text,
        _text(fields.get('task')),
        _number(fields.get('run')),
        _number(fields.get('epoch')),
        _text(fields.get('runner')),
        {name: shown for name, shown in fields.items() if name not in _COLUMNS},
        count,
    )


def _text(found: Any) -> str:
    return found if isinstance(found, str) else ''


def _number(found: Any) -> int | None:
    return found if isinstance(found, int) else None
