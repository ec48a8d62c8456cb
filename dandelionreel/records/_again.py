"""Tasks that were started more than once: what the later starter had been told."""

from collections.abc import Iterable
from dataclasses import dataclass

from dandelionreel.records._runs import Run
from dandelionreel.records._stages import Stage
from dandelionreel.records._told import Told

#: Lines of one host that are quoted for one start.
MOST_QUOTED = 6
#: Stages by which an owner learns that an earlier run is over, or takes it to be.
LEARNED = frozenset(
    (
        Stage.ENDED,
        Stage.TURNED_AWAY,
        Stage.MISSING,
        Stage.LAPSED,
        Stage.LOST,
        Stage.FOUND,
        Stage.STOPPING,
        Stage.STOPPED,
        Stage.UNANSWERED,
    ),
)
#: Stages of those that say that the run is over, or can't go on.
OVER = frozenset(
    (Stage.ENDED, Stage.TURNED_AWAY, Stage.MISSING, Stage.LAPSED, Stage.LOST),
)
OF_RUNNER = frozenset((Stage.LAPSED, Stage.FOUND))
#: How a new owner tells that it has waited for the leases on runners it can't reach.
LAPSE = 'takes the leases on unseen runners for run out'
NEVER_TOLD = ', of which no line tells'
OWNERS = frozenset((Stage.TAKEN_OVER, Stage.OWNERSHIP))


@dataclass(frozen=True)
class Again:
    """Two runs of a task, one after the other."""

    earlier: Run
    later: Run
    #: What is to be thought of it, in one sentence.
    finding: str
    #: Whether the lines show no reason for which it might have been started.
    suspect: bool
    #: What the later starter was told before, the latest last.
    knew: tuple[Told, ...]


def find_again(runs: Iterable[Run], lines: list[Told]) -> list[Again]:
    """Return each run with the one before it of the same task; ``lines`` are in order."""
    found = []
    earlier: Run | None = None
    for run in runs:
        if earlier is not None and earlier.task == run.task:
            found.append(_compare(earlier, run, lines))
        earlier = run
    return found


def _compare(earlier: Run, later: Run, lines: list[Told]) -> Again:
    knew = _known_before(earlier, later, lines)
    finding, suspect = _judge(earlier, later, knew)
    return Again(earlier, later, finding, suspect, knew)


def _known_before(earlier: Run, later: Run, lines: list[Told]) -> tuple[Told, ...]:
    """Return what the later run's owner wrote of the earlier one, and of its own term."""
    at = later.asked_at
    if at is None:
        return ()
    own = [line for line in lines if line.host == later.owner and line.at <= at]
    of_run = [line for line in own if _tells_of(line, earlier)]
    of_term = [line for line in own if line.stage in OWNERS][-MOST_QUOTED:]
    return tuple(sorted([*of_run[-MOST_QUOTED:], *of_term], key=lambda line: line.at))


def _tells_of(line: Told, run: Run) -> bool:
    """Return whether a line is about a run, or about its runner while it was there."""
    if line.stage not in LEARNED:
        return False
    if any(told is line for told in run.told):
        return True
    about_runner = line.stage in OF_RUNNER and line.runner == run.runner
    return about_runner and line.at >= run.began_at


def _judge(earlier: Run, later: Run, knew: tuple[Told, ...]) -> tuple[str, bool]:
    """Return what the lines say of a second start, and whether it is suspect."""
    if later.asked_at is None:
        return 'the later start is in no line that was read', True
    over = [line for line in knew if _says_over(line, earlier)]
    told = f'{later.owner} had been told' if later.owner else 'its owner had been told'
    if earlier.outcome == 'done':
        when = earlier.ended_at or 0.0
        side = 'before' if when <= later.asked_at else 'after'
        gap = abs(later.asked_at - when)
        news = 'it' if over else 'nothing of it'
        return (
            f'run {earlier.run} was done, told {gap:.3f} s {side} this start; {told} {news}',
            True,
        )
    if over:
        return f'{told} {_quote(over[-1], earlier, later.asked_at)}', False
    lapse = _find_lapse(knew, earlier.runner)
    overlap = _tell_overlap(earlier, later.asked_at)
    if lapse is not None and not overlap:
        age = later.asked_at - lapse.at
        return f'{told} nothing of run {earlier.run}; {age:.3f} s before it {lapse.sentence}', False
    waited = '' if lapse is None else f'; it {lapse.sentence}'
    return f'{told} nothing of the end of run {earlier.run}{overlap or NEVER_TOLD}{waited}', True


def _quote(line: Told, earlier: Run, asked_at: float) -> str:
    without = f' Run {earlier.run} was not there.' if line.stage is Stage.FOUND else ''
    return f'{asked_at - line.at:.3f} s before: {line.sentence}{without}'


def _says_over(line: Told, run: Run) -> bool:
    if line.stage is Stage.FOUND:
        return _lists_without(line, run)
    never_sent = line.stage is Stage.UNANSWERED and line.more.get('verdict') == 'not_run'
    return line.stage in OVER or never_sent


def _lists_without(line: Told, run: Run) -> bool:
    """Return whether a new owner's first look named all that its runner had, and not the run."""
    found = line.more.get('found')
    if line.more.get('first') is not True or not isinstance(found, list):
        return False
    whole = line.sentence.startswith(f'found {len(found)} ')
    return whole and not any(told is line for told in run.told)


def _find_lapse(knew: tuple[Told, ...], runner: str) -> Told | None:
    """Return where a new owner took the leases on a runner that it had not seen for over."""
    for line in reversed(knew):
        if LAPSE not in line.text:
            continue
        named = line.more.get('runners')
        if not isinstance(named, list) or runner in named:
            return line
    return None


def _tell_overlap(earlier: Run, asked_at: float) -> str:
    """Return what other hosts read of a run's end, empty where no line tells of one."""
    if earlier.ended_at is None:
        return ''
    if earlier.ended_at > asked_at:
        return f', told {earlier.ended_at - asked_at:.3f} s later: both may have run'
    return f', which {earlier.seen_by} had read: {earlier.outcome}'
