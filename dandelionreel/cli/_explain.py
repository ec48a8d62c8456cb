"""The command that reconstructs the history of a job from the hosts' logs."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO

from returns.result import Failure, Success

from dandelionreel.cli._client import ToolError
from dandelionreel.cli._command_result import (
    Command,
    CommandOutcome,
    CommandResult,
    unreadable_file_error,
)
from dandelionreel.cli._output import write_table
from dandelionreel.kernel import Environment, ExitStatus
from dandelionreel.records import Subject, SubjectError, explain_subject, parse_subject, view_report

STDIN = '-'
LINE_COLUMNS = ('at', 'host', 'told', 'task', 'run', 'epoch', 'text', 'more')
RUN_COLUMNS = (
    'task',
    'run',
    'epoch',
    'owner',
    'runner',
    'asked',
    'ended',
    'seconds',
    'outcome',
    'noted',
    'knew',
)

QUOTE_INDENT = '    '
#: Items of a list that a table shows; JSON has all.
MAX_LISTED = 3


def explain_job(job: str, *files: Path, json: bool = False) -> Command:
    """Explain the history of a job or task from log files of many hosts, or standard input.

    Lines that can't be read are counted and left out.

    :param job: the job's id, or JOB/TASK with a task as in the logs: 0.2.13
    :param files: the hosts' logs, in any order; - or none for standard input
    :param json: write JSON
    """
    return lambda environment: _explain_from_logs(job, files, environment, json)


def _explain_from_logs(
    text: str, files: tuple[Path, ...], environment: Environment, json: bool
) -> CommandOutcome:
    try:
        subject = parse_subject(text)
    except SubjectError as error:
        return Failure(ToolError(f'{error}', ExitStatus.USAGE))
    try:
        report = explain_subject(subject, open_logs(files, environment))
    except OSError as error:
        return Failure(unreadable_file_error(error.filename or 'standard input', error))
    if report is None:
        return Failure(_not_in_logs_error(subject))
    return Success(CommandResult(view_report(report), _write_report, json))


def _not_in_logs_error(subject: Subject) -> ToolError:
    return ToolError(f'no line names {subject.name}; give the logs of all hosts', ExitStatus.ERROR)


def open_logs(files: tuple[Path, ...], environment: Environment) -> Iterator[tuple[str, BinaryIO]]:
    """Open one file after the other, and close each before the next.

    ``-`` and an empty list mean standard input. Raises ``OSError``.
    """
    for path in files or (Path(STDIN),):
        if f'{path}' == STDIN:
            yield 'standard input', environment.stdin.buffer
            continue
        with path.open('rb') as stream:
            yield f'{path}', stream


def _write_report(stream: Any, content: Any) -> None:
    read = content['read']
    stream.write(f'{content["subject"]}: seconds since {content["began"]}\n')
    first = f', the first at {read["first_bad"]}' if read['first_bad'] else ''
    stream.write(
        f'read {read["lines"]} lines of {read["files"]} files, {read["bad"]} bad{first}\n',
    )
    runners = frozenset(run['runner'] for run in content['runs'])
    lines = [_shorten_lists(line, runners) for line in content['timeline']]
    _write_section(stream, 'timeline', lines, LINE_COLUMNS)
    _write_section(stream, 'runs', content['runs'], RUN_COLUMNS)
    for wait in content['waits']:
        _write_wait(stream, wait, whole_job='/' not in content['subject'])
    for repeated in content['again']:
        _write_repeated_start(stream, repeated, runners)
    for sentence in content['not_known']:
        stream.write(f'\nnot known: {sentence}')
    stream.write('\n' if content['not_known'] else '')


def _write_section(stream: Any, name: str, rows: Any, columns: tuple[str, ...]) -> None:
    if not rows:
        return
    stream.write(f'\n{name}\n')
    write_table(stream, [_format_row(row) for row in rows], columns)


def _shorten_lists(line: Any, runners: frozenset[str]) -> Any:
    """Return a line with long lists shortened; ``runners`` are listed first."""
    more = {
        name: field_value for name, field_value in line['more'].items() if field_value is not None
    }
    for name, field_value in more.items():
        if isinstance(field_value, list) and len(field_value) > MAX_LISTED:
            wanted = [entry for entry in field_value if _is_one_of(entry, runners)]
            others = [entry for entry in field_value if not _is_one_of(entry, runners)]
            shown = ', '.join(f'{entry}' for entry in [*wanted, *others][:MAX_LISTED])
            more[name] = f'{shown}, … ({len(field_value)})'
    return {**line, 'more': more}


def _is_one_of(entry: Any, runners: frozenset[str]) -> bool:
    return isinstance(entry, str) and entry in runners


def _format_row(row: Any) -> dict[str, Any]:
    """Return a row with blanks for unknown fields, and how often a line was repeated."""
    formatted = {
        name: '' if field_value is None else field_value for name, field_value in row.items()
    }
    count = row.get('count', 1)
    if count > 1:
        formatted['text'] = f'{row["text"]} (told {count} times)'
    return formatted


def _write_wait(stream: Any, wait: Any, *, whole_job: bool) -> None:
    others = '' if whole_job else ' (other tasks may have run)'
    stream.write(f'\nwaited {wait["seconds"]} s, from {wait["since"]} to {wait["until"]}{others}\n')
    if not wait['causes']:
        stream.write(f'{QUOTE_INDENT}no line tells why\n')
    _write_quotes(stream, wait['causes'])


def _write_repeated_start(stream: Any, repeated: Any, runners: frozenset[str]) -> None:
    earlier = repeated['earlier']
    later = repeated['later']
    stream.write(
        f'\ntask {repeated["task"]}: run {_label_run(earlier)}, then run {_label_run(later)}\n'
    )
    mark = 'SUSPECT: ' if repeated['suspect'] else ''
    stream.write(f'{QUOTE_INDENT}{mark}{repeated["finding"]}\n')
    if later['knew']:
        knowledge = ', '.join(
            f'{name} {field_value}' for name, field_value in later['knew'].items()
        )
        stream.write(f'{QUOTE_INDENT}at the start {later["owner"]} knew: {knowledge}\n')
    if repeated['knew']:
        stream.write(f'{QUOTE_INDENT}what {later["owner"]} had written by then:\n')
        _write_quotes(stream, [_shorten_lists(line, runners) for line in repeated['knew']])


def _label_run(run: Any) -> str:
    owner = run['owner'] or 'an owner that no line names'
    return f'{run["run"]} on {run["runner"]} by {owner} in epoch {run["epoch"]}'


def _write_quotes(stream: Any, lines: Any) -> None:
    for line in lines:
        more = ' '.join(f'{name}={field_value}' for name, field_value in line['more'].items())
        stream.write(f'{QUOTE_INDENT}{line["at"]} {line["host"]}: {line["text"]} {more}'.rstrip())
        stream.write('\n')
