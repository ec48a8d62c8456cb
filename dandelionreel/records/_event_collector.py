"""Selects the log lines that are relevant to a job, in one pass and bounded memory.

Which hosts and runners a job involves is known only at the end. Until then lines about
owners, runners, stores and hosts are kept, equal ones once per interval: when 35 hosts
reload a list of 176 runners, they write 6,000 lines within a second.
"""

from dataclasses import dataclass

from dandelionreel.records._lines import LineHeader
from dandelionreel.records._log_event import LogEvent, decode_event
from dandelionreel.records._subject import Subject

#: Limit of kept events that name the job, about 1.5 KB each.
MAX_JOB_EVENTS = 20_000
#: Limit of kept lines that don't name the job, about 0.6 KB each.
MAX_CONTEXT_LINES = 40_000
#: Interval in which equal lines are kept once.
DEDUPLICATION_SECONDS = 10.0
#: Logging parts whose lines may be relevant without naming the job.
CONTEXT_PARTS = frozenset(('ownership', 'workers', 'log', 'life'))
#: Ending of lines that each host writes when it reads the list of runners and that are
#: never relevant to a job.
READY_ENDING = ' is ready.'
#: Endings of the other lines that each host writes when it reads the list of runners; equal
#: lines are merged over all hosts.
RUNNER_LIST_ENDINGS = (' is draining.', ' has gone.')

_ContextKey = tuple[str, str, int]


@dataclass
class LogSpan:
    """Time of the first and the last line of a host, in Unix time by its clock."""

    first: float
    last: float


@dataclass
class _ContextLine:
    at: float
    content: bytes
    count: int = 1


class EventCollector:
    """Collects the events of one job, and lines that may explain them."""

    def __init__(self, subject: Subject) -> None:
        """Collect events for ``subject``."""
        self.subject = subject
        self.job_events: list[LogEvent] = []
        self.span_by_host: dict[str, LogSpan] = {}
        #: Lines that were dropped because a limit was reached.
        self.dropped_count = 0
        #: Context lines with a broken field, found only when they are fully decoded.
        self.unreadable_count = 0
        #: Highest sampling interval in the logs: of frequent lines, one in this many is written.
        self.sampling_interval = 1
        self._job_id = subject.job.encode()
        self._context_lines: dict[_ContextKey, _ContextLine] = {}

    def add(self, content: bytes, line: LineHeader) -> bool:
        """Keep a line if it may be relevant; return whether it can be decoded."""
        self._update_span(line)
        if isinstance(line.sampled, int):
            self.sampling_interval = max(self.sampling_interval, line.sampled)
        if self._job_id in content and _contains_word(content, self._job_id):
            return self._add_job_line(content)
        if line.message_type in CONTEXT_PARTS and not line.text.endswith(READY_ENDING):
            self._add_context_line(content, line)
        return True

    def context_events(self) -> list[LogEvent]:
        """Return the events that may be relevant without naming the job."""
        decoded = [decode_event(kept.content, kept.count) for kept in self._context_lines.values()]
        readable = [event for event in decoded if event is not None]
        self.unreadable_count += len(decoded) - len(readable)
        return readable

    def _update_span(self, line: LineHeader) -> None:
        span = self.span_by_host.get(line.host)
        if span is None:
            self.span_by_host[line.host] = LogSpan(line.timestamp, line.timestamp)
            return
        span.first = min(span.first, line.timestamp)
        span.last = max(span.last, line.timestamp)

    def _add_job_line(self, content: bytes) -> bool:
        if len(self.job_events) >= MAX_JOB_EVENTS:
            self.dropped_count += 1
            return True
        event = decode_event(content)
        if event is None:
            return False
        if self.subject.includes(event.task) and self._filter_listed_runs(event):
            self.job_events.append(event)
        return True

    def _filter_listed_runs(self, event: LogEvent) -> bool:
        """Reduce a list of runs to those of the subject; return whether any is left."""
        listed = event.extra_fields.get('found')
        if not isinstance(listed, list):
            return True
        prefix = f'{self.subject.name} ' if self.subject.task else f'{self.subject.job}/'
        event.extra_fields['found'] = [text for text in listed if f'{text}'.startswith(prefix)]
        return bool(event.extra_fields['found'])

    def _add_context_line(self, content: bytes, line: LineHeader) -> None:
        host = '' if line.text.endswith(RUNNER_LIST_ENDINGS) else line.host
        key = (host, line.text, int(line.timestamp // DEDUPLICATION_SECONDS))
        kept = self._context_lines.get(key)
        if kept is None:
            if len(self._context_lines) >= MAX_CONTEXT_LINES:
                self.dropped_count += 1
                return
            self._context_lines[key] = _ContextLine(line.timestamp, content)
            return
        kept.count += 1
        if line.timestamp < kept.at:
            kept.at = line.timestamp
            kept.content = content


def _contains_word(content: bytes, word: bytes) -> bool:
    """Return whether a line contains a word that is not part of a longer id."""
    at = content.find(word)
    while at >= 0:
        following = content[at + len(word) : at + len(word) + 1]
        if not content[at - 1 : at].isalnum() and not following.isalnum():
            return True
        at = content.find(word, at + 1)
    return False
