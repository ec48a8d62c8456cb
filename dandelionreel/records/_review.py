"""How the jobs of some time were served, and why those were late that were."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, BinaryIO

import msgspec

from dandelionreel.records._lines import Tally, read_lines
from dandelionreel.records._lives import Life, Lives
from dandelionreel.records._reasons import Reason, Verdict, find_reason, judge
from dandelionreel.records._told import make_told
from dandelionreel.records._troubles import Span, Troubles, tells_of_hosts

#: Parts whose lines tell of jobs or of hosts.
PARTS = frozenset(('jobs', 'placement', 'workers', 'life', 'log', 'ownership'))
#: Verdicts of jobs that their callers did not get in time.
LOSSES = (Verdict.LATE, Verdict.TOO_LATE, Verdict.REFUSED, Verdict.OPEN)


class _Names(msgspec.Struct):
    """Which jobs a line names."""

    job: object = ''
    jobs: object = ()


_NAMES = msgspec.json.Decoder(_Names)


@dataclass(frozen=True)
class Loss:
    """A job that was not in time."""

    life: Life
    verdict: Verdict
    reason: Reason


@dataclass(frozen=True)
class Review:
    """All jobs of the logs; ``began_at`` is when the first one was sent."""

    tally: Tally
    began_at: float
    counts_by_queue: dict[str, Counter[Verdict]]
    counts_by_account: dict[str, Counter[Verdict]]
    losses: tuple[Loss, ...]
    takeovers: tuple[Span, ...]
    #: Jobs that there was no room for.
    left_out: int


def review(streams: Iterable[tuple[str, BinaryIO]]) -> Review | None:
    """Return how all jobs were served; ``None`` where no line tells of a job.

    The streams are read once, each to its end; ``OSError`` of theirs is passed on.
    """
    tally = Tally()
    lives, troubles = Lives(), Troubles()
    last = 0.0
    for name, stream in streams:
        for content, line in read_lines(stream, name, tally):
            last = max(last, line.timestamp)
            if line.message_type in PARTS and not _take(content, lives, troubles):
                tally.note_bad()
            troubles.note_host(line.host, line.timestamp)
    return _sum_up(tally, lives, troubles, last) if lives.by_job else None


def _take(content: bytes, lives: Lives, troubles: Troubles) -> bool:
    told = make_told(content)
    if told is None:
        return False
    if tells_of_hosts(told.stage):
        troubles.take(told)
        return True
    names = _NAMES.decode(content)
    job = names.job if isinstance(names.job, str) else ''
    jobs = names.jobs if isinstance(names.jobs, list) else []
    lives.take(told, job, [one for one in jobs if isinstance(one, str)])
    return True


def _sum_up(tally: Tally, lives: Lives, troubles: Troubles, last: float) -> Review:
    down = troubles.all_down()
    counts_by_queue: dict[str, Counter[Verdict]] = {}
    counts_by_account: dict[str, Counter[Verdict]] = {}
    losses = []
    settled = lives.settle()
    for life in settled:
        verdict = judge(life)
        counts_by_queue.setdefault(life.queue, Counter())[verdict] += 1
        if life.account:
            counts_by_account.setdefault(life.account, Counter())[verdict] += 1
        if verdict in LOSSES:
            losses.append(Loss(life, verdict, find_reason(life, troubles, down, last)))
    began_at = (settled[0].sent_at or 0.0) if settled else 0.0
    return Review(
        tally,
        began_at,
        counts_by_queue,
        counts_by_account,
        tuple(losses),
        tuple(troubles.takeovers),
        lives.left_out,
    )


def view_review(found: Review) -> dict[str, Any]:
    """Return a review as plain values; times are seconds since the first job was sent."""
    zero = found.began_at
    return {
        'read': {
            'files': found.tally.files,
            'lines': found.tally.lines,
            'bad': found.tally.bad,
            'first_bad': found.tally.first_bad,
            'left_out': found.left_out,
        },
        'queues': _view_counts('queue', found.counts_by_queue),
        'accounts': _view_counts('account', found.counts_by_account),
        'reasons': _view_reasons(found.losses),
        'jobs': [_view_loss(loss, zero) for loss in found.losses],
    }


def _view_counts(kind: str, counts_by_name: dict[str, Counter[Verdict]]) -> list[dict[str, Any]]:
    return [
        {kind: name or '?', **{one.value: counts[one] for one in Verdict}}
        for name, counts in sorted(counts_by_name.items())
    ]


def _view_reasons(losses: Iterable[Loss]) -> list[dict[str, Any]]:
    counts_by_reason: dict[Reason, Counter[Verdict]] = {}
    for loss in losses:
        counts_by_reason.setdefault(loss.reason, Counter())[loss.verdict] += 1
    ordered = sorted(counts_by_reason.items(), key=lambda entry: -entry[1].total())
    return [
        {'reason': reason.value, **{one.value: counts[one] for one in LOSSES}}
        for reason, counts in ordered
    ]


def _view_loss(loss: Loss, zero: float) -> dict[str, Any]:
    life = loss.life
    seconds = life.seconds
    return {
        'sent': round((life.sent_at or zero) - zero, 3),
        'job': life.job,
        'queue': life.queue,
        'account': life.account,
        'verdict': loss.verdict.value,
        'reason': loss.reason.value,
        'seconds': None if seconds is None else round(seconds, 3),
        'objective': life.objective,
    }
