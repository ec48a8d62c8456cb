"""Each job's life in a few times, put together from the lines of all hosts."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from dandelionreel.records._stages import Stage
from dandelionreel.records._told import Told

#: Jobs that are kept, about 1 KB each.
MOST_JOBS = 100_000
COMPLETED = 'completed'
#: What may happen to a job besides being run.
MISHAPS = frozenset(
    (
        Stage.LOST,
        Stage.MISSING,
        Stage.UNANSWERED,
        Stage.STOPPING,
        Stage.HELD,
        Stage.BEHIND,
    )
)
CANCELLED = 'cancelled'
_POSTED = re.compile(r'jobs: POST (\S+):')
_CLOSED = re.compile(r'jobs: job (\S+) is (\w+)\.')


@dataclass
class Life:
    """One job; times are wall seconds, ``None`` where no line tells."""

    job: str
    queue: str = ''
    account: str = ''
    #: When a host was first asked to take it.
    sent_at: float | None = None
    #: When a host first turned it away, and which one.
    refused_at: float | None = None
    refused_by: str = ''
    accepted_at: float | None = None
    started_at: float | None = None
    closed_at: float | None = None
    state: str = ''
    #: Seconds within which it is in time, as its queue promises.
    objective: float | None = None
    #: When its end first stood in the store, and so could be shown.
    shown_at: float | None = None
    cancelled: bool = False
    #: Availability zones of the runners that it was started on.
    zones: set[str] = field(default_factory=set)
    #: What became of its runs besides being done.
    mishaps: set[Stage] = field(default_factory=set)
    failed_run: bool = False

    @property
    def seconds(self) -> float | None:
        """Return how long its caller waited, ``None`` for one that was never told of its end."""
        if self.sent_at is None or self.shown_at is None:
            return None
        return self.shown_at - self.sent_at


class Lives:
    """Jobs by id."""

    def __init__(self) -> None:
        """Start with none."""
        self.by_job: dict[str, Life] = {}
        #: Lines of jobs that there was no room for.
        self.left_out = 0
        self._stored: list[tuple[float, str]] = []

    def take(self, line: Told, job: str, jobs: Iterable[str]) -> None:
        """Take a line that names ``job``, or that names ``jobs`` whose ends it tells of."""
        if line.stage in {Stage.NOTED, Stage.SHOWN}:
            self._stored.extend((line.at, name) for name in jobs)
            return
        posted = _POSTED.match(line.text)
        if posted is not None:
            self._take_posted(line, posted[1])
            return
        closed = _CLOSED.match(line.text)
        if closed is not None:
            self._take_closed(line, closed[1], closed[2])
            return
        life = self._find(job)
        if life is not None:
            _take_run(life, line)
            _take_account(life, line)

    def settle(self) -> list[Life]:
        """Return all jobs by the time at which they were sent, once all lines were taken."""
        for at, job in self._stored:
            life = self.by_job.get(job)
            if life is None or life.closed_at is None or at < life.closed_at:
                continue
            life.shown_at = _earlier(life.shown_at, at)
        for life in self.by_job.values():
            if life.accepted_at is None and life.started_at is not None:
                # Its client was never told so; it ran all the same.
                life.accepted_at = life.started_at
        sent = [life for life in self.by_job.values() if life.sent_at is not None]
        return sorted(sent, key=_sent_at)

    def _find(self, job: str) -> Life | None:
        life = self.by_job.get(job)
        if life is not None or not job:
            return life
        if len(self.by_job) >= MOST_JOBS:
            self.left_out += 1
            return None
        return self.by_job.setdefault(job, Life(job))

    def _take_posted(self, line: Told, job: str) -> None:
        life = self._find(job)
        if life is None:
            return
        seconds = line.more.get('seconds')
        held = seconds if isinstance(seconds, int | float) else 0.0
        life.sent_at = _earlier(life.sent_at, line.at - held)
        life.queue = life.queue or f'{line.more.get("queue", "")}'
        _take_account(life, line)
        if line.stage in {Stage.ACCEPTED, Stage.KNOWN}:
            life.accepted_at = _earlier(life.accepted_at, line.at)
        elif line.stage is Stage.REFUSED and (life.refused_at or line.at) >= line.at:
            life.refused_at = line.at
            life.refused_by = line.host

    def _take_closed(self, line: Told, job: str, state: str) -> None:
        life = self._find(job)
        if life is None:
            return
        life.queue = life.queue or f'{line.more.get("queue", "")}'
        _take_account(life, line)
        objective = line.more.get('objective')
        if isinstance(objective, int | float):
            life.objective = float(objective)
        if life.closed_at is None or line.at < life.closed_at:
            life.closed_at = line.at
            life.state = state
        life.cancelled = life.cancelled or state == CANCELLED


def _take_run(life: Life, line: Told) -> None:
    if line.stage is Stage.CANCELLED:
        life.cancelled = True
    elif line.stage is Stage.ASKED:
        life.started_at = _earlier(life.started_at, line.at)
        zone = line.more.get('zone')
        if isinstance(zone, str):
            life.zones.add(zone)
    elif line.stage is Stage.ENDED:
        life.failed_run = life.failed_run or line.text.endswith('failed.')
    elif line.stage in MISHAPS:
        life.mishaps.add(line.stage)


def _take_account(life: Life, line: Told) -> None:
    account = line.more.get('account')
    if isinstance(account, str):
        life.account = life.account or account


def _earlier(known: float | None, at: float) -> float:
    return at if known is None else min(known, at)


def _sent_at(life: Life) -> float:
    return life.sent_at or 0.0
