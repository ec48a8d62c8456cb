"""Picks the lines that matter out of many, in one pass and a bounded room.

Which hosts and runners a job has to do with is known only at the end: until then lines
about owners, runners, stores and hosts are kept, the same ones once in some seconds. A
list of 176 runners that 35 hosts read again writes 6,000 lines within a second.
"""

from dataclasses import dataclass

from dandelionreel.records._lines import Line
from dandelionreel.records._subject import Subject
from dandelionreel.records._told import Told, make_told

#: Lines of the job itself that are kept, about 1.5 KB each.
MOST_TOLD = 20_000
#: Lines around it that are kept, about 0.6 KB each.
MOST_AROUND = 40_000
#: Seconds in which the same sentence is kept once.
SAME_SECONDS = 10.0
#: Parts whose lines may matter without naming the job.
AROUND_PARTS = frozenset(('ownership', 'workers', 'log', 'life'))
#: Ends of sentences that each host writes as it reads the list of runners; the first
#: kind tells nothing of a job.
READY = ' is ready.'
LISTED = (' is draining.', ' has gone.')

Key = tuple[str, str, int]


@dataclass
class Span:
    """From when to when a host's lines go, in seconds of its wall clock."""

    first: float
    last: float


@dataclass
class _Kept:
    at: float
    content: bytes
    count: int = 1


class Gathering:
    """Lines of one job, and lines around it."""

    def __init__(self, subject: Subject) -> None:
        """Gather for ``subject``."""
        self.subject = subject
        self.told: list[Told] = []
        self.span_by_host: dict[str, Span] = {}
        #: Lines that there was no room for.
        self.left_out = 0
        #: Lines around the job with a broken field, which shows when they are looked at.
        self.unreadable = 0
        #: One of so many lines of the frequent kinds was written.
        self.sampled = 1
        self._word = subject.job.encode()
        self._around: dict[Key, _Kept] = {}

    def take(self, content: bytes, line: Line) -> bool:
        """Keep a line if it may matter; return whether it can be read."""
        self._note_span(line)
        if isinstance(line.sampled, int):
            self.sampled = max(self.sampled, line.sampled)
        if self._word in content and _names(content, self._word):
            return self._take_own(content)
        if line.message_type in AROUND_PARTS and not line.text.endswith(READY):
            self._keep_around(content, line)
        return True

    def around(self) -> list[Told]:
        """Return the lines that may matter without naming the job."""
        made = [make_told(kept.content, kept.count) for kept in self._around.values()]
        readable = [told for told in made if told is not None]
        self.unreadable += len(made) - len(readable)
        return readable

    def _note_span(self, line: Line) -> None:
        span = self.span_by_host.get(line.host)
        if span is None:
            self.span_by_host[line.host] = Span(line.timestamp, line.timestamp)
            return
        span.first = min(span.first, line.timestamp)
        span.last = max(span.last, line.timestamp)

    def _take_own(self, content: bytes) -> bool:
        if len(self.told) >= MOST_TOLD:
            self.left_out += 1
            return True
        told = make_told(content)
        if told is None:
            return False
        if self.subject.takes(told.task) and self._takes_found(told):
            self.told.append(told)
        return True

    def _takes_found(self, told: Told) -> bool:
        """Leave in a list of runs only those asked about; return whether one is left."""
        found = told.more.get('found')
        if not isinstance(found, list):
            return True
        mine = f'{self.subject.name} ' if self.subject.task else f'{self.subject.job}/'
        told.more['found'] = [text for text in found if f'{text}'.startswith(mine)]
        return bool(told.more['found'])

    def _keep_around(self, content: bytes, line: Line) -> None:
        host = '' if line.text.endswith(LISTED) else line.host
        key = (host, line.text, int(line.timestamp // SAME_SECONDS))
        kept = self._around.get(key)
        if kept is None:
            if len(self._around) >= MOST_AROUND:
                self.left_out += 1
                return
            self._around[key] = _Kept(line.timestamp, content)
            return
        kept.count += 1
        if line.timestamp < kept.at:
            kept.at = line.timestamp
            kept.content = content


def _names(content: bytes, word: bytes) -> bool:
    """Return whether a word stands in a line by itself, not within another id."""
    at = content.find(word)
    while at >= 0:
        behind = content[at + len(word) : at + len(word) + 1]
        if not content[at - 1 : at].isalnum() and not behind.isalnum():
            return True
        at = content.find(word, at + 1)
    return False
