"""The whole story of a job or a task, made of what was gathered."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import BinaryIO

from dandelionreel.records._again import Again, find_again
from dandelionreel.records._gathering import Gathering, Span
from dandelionreel.records._lines import Tally, read_lines
from dandelionreel.records._runs import Run, gather_runs
from dandelionreel.records._stages import Stage
from dandelionreel.records._subject import Subject
from dandelionreel.records._told import Told
from dandelionreel.records._waits import Wait, find_waits, handed_in_at

#: Seconds before a job's first line and after its last whose lines around it are shown.
MARGIN = 1.0
#: Fields of a start without which nobody can tell what its owner knew.
NEEDED = ('version', 'store_age', 'runner_age')
#: Stages of lines that are told of a host: shown if the host had to do with the job.
OF_HOST = frozenset((Stage.STORE, Stage.HOST))
OF_RUNNER = frozenset((Stage.RUNNER, Stage.LAPSED, Stage.FOUND))
OF_STORING = frozenset((Stage.NOTED, Stage.UNNOTED))
OF_OWNER = frozenset((Stage.TAKEN_OVER, Stage.OWNERSHIP))


@dataclass(frozen=True)
class Report:
    """What all hosts told, in order of time, and what follows from it."""

    subject: Subject
    tally: Tally
    #: The job's own lines, and those around them that it had to do with.
    lines: tuple[Told, ...]
    #: When the job was handed in, or first told of.
    began_at: float
    runs: tuple[Run, ...]
    again: tuple[Again, ...]
    waits: tuple[Wait, ...]
    #: What can't be known from the lines that were read, and why.
    missing: tuple[str, ...]


def explain(subject: Subject, streams: Iterable[tuple[str, BinaryIO]]) -> Report | None:
    """Return the story of ``subject`` from named streams; ``None`` where no line names it.

    The streams are read once, each to its end; ``OSError`` of theirs is passed on.
    """
    tally = Tally()
    gathering = Gathering(subject)
    for name, stream in streams:
        for content, line in read_lines(stream, name, tally):
            if not gathering.take(content, line):
                tally.note_bad()
    around = sorted(gathering.around(), key=_time)
    tally.bad += gathering.unreadable
    return _tell(gathering, around, tally) if gathering.told else None


def _tell(gathering: Gathering, around: list[Told], tally: Tally) -> Report:
    own = sorted(gathering.told, key=_time)
    runs = gather_runs(own, gathering.subject.job)
    if gathering.subject.task:
        own = [line for line in own if _of_task(line, runs)]
    lines = sorted([*own, *_choose(own, runs, around)], key=_time)
    began_at = handed_in_at(own, runs)
    return Report(
        gathering.subject,
        tally,
        tuple(lines),
        began_at,
        tuple(runs),
        tuple(find_again(runs, lines)),
        tuple(find_waits(runs, lines, began_at)),
        tuple(_find_missing(own, runs, gathering)),
    )


def _of_task(line: Told, runs: list[Run]) -> bool:
    """Return whether a line that is told of whole jobs or of any run is about these runs."""
    if line.stage in OF_STORING or line.run is not None:
        return any(told is line for run in runs for told in run.told)
    return True


def _choose(own: list[Told], runs: list[Run], around: list[Told]) -> list[Told]:
    """Return the lines that don't name the job and matter to it."""
    first = handed_in_at(own, runs) - MARGIN
    last = own[-1].at + MARGIN
    hosts = {line.host for line in own}
    runners = {run.runner for run in runs}
    chosen = _owners_before(around, first)
    for line in around:
        if first <= line.at <= last and _matters(line, hosts, runners):
            chosen.append(line)
    return chosen


def _matters(line: Told, hosts: set[str], runners: set[str]) -> bool:
    if line.stage in OF_OWNER:
        return True
    if line.stage in OF_HOST:
        return line.host in hosts
    found = line.more.get('found')
    if isinstance(found, list) and line.sentence.startswith(f'found {len(found)} '):
        # All that was found is named, and nothing of it is the job's.
        return False
    return line.stage in OF_RUNNER and line.runner in runners


def _owners_before(around: list[Told], first: float) -> list[Told]:
    """Return who had taken the cell over last when the job came."""
    earlier = [line for line in around if line.stage is Stage.TAKEN_OVER and line.at < first]
    return earlier[-1:]


def _find_missing(own: list[Told], runs: list[Run], gathering: Gathering) -> list[str]:
    missing = [*_missing_stages(own, runs), *_missing_fields(own, runs)]
    missing.extend(_cut_logs(handed_in_at(own, runs), own, gathering.span_by_host))
    if gathering.sampled > 1:
        missing.append(f'only one of {gathering.sampled} lines of the frequent kinds was written')
    if gathering.left_out:
        missing.append(f'{gathering.left_out} more lines had no room; give fewer logs, or JOB/TASK')
    return missing


def _missing_stages(own: list[Told], runs: list[Run]) -> list[str]:
    missing = []
    if not any(line.stage in {Stage.ACCEPTED, Stage.KNOWN} for line in own):
        missing.append('no line tells where the job was accepted')
    if not runs:
        missing.append('no line tells of a start')
    unasked = [run for run in runs if run.asked_at is None]
    if unasked:
        missing.append(f'no line tells the start of {len(unasked)} of {len(runs)} runs')
    endless = [run for run in runs if run.ended_at is None]
    if endless:
        missing.append(f'no line tells the end of {len(endless)} of {len(runs)} runs')
    if runs and not any(run.noted_at for run in runs):
        missing.append('no line tells when an end was stored, from when on it is acknowledged')
    return missing


def _missing_fields(own: list[Told], runs: list[Run]) -> list[str]:
    missing = []
    asked = [run for run in runs if run.asked_at is not None]
    lacking = [name for name in NEEDED if any(name not in run.knowledge for run in asked)]
    if lacking:
        missing.append(f'starts lack {", ".join(lacking)}: how old their owner knew things to be')
    nameless = {line.sentence for line in own if line.run is not None and not line.task}
    if nameless:
        missing.append(f'{len(nameless)} lines on runs name no task')
    return missing


def _cut_logs(first: float, own: list[Told], span_by_host: dict[str, Span]) -> list[str]:
    """Name the logs, of hosts that the job had to do with, which begin too late."""
    missing = []
    for host in sorted({line.host for line in own}):
        late = span_by_host[host].first - first
        if late > MARGIN:
            missing.append(f'the log of {host} begins {late:.1f} s after the job was handed in')
    return missing


def _time(line: Told) -> float:
    return line.at
