"""The command that reports how jobs were served, and why some were late."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from returns.result import Failure, Success

from dandelionreel.cli._client import ToolError
from dandelionreel.cli._command_result import (
    Command,
    CommandOutcome,
    CommandResult,
    unreadable_file_error,
)
from dandelionreel.cli._explain import open_logs
from dandelionreel.cli._output import write_table
from dandelionreel.kernel import Environment, ExitStatus
from dandelionreel.records import review_logs, view_review

VERDICT_COLUMNS = ('in time', 'late', 'too late', 'refused', 'open', 'cancelled')
MISSED_COLUMNS = ('late', 'too late', 'refused', 'open')
JOB_COLUMNS = ('sent', 'job', 'queue', 'account', 'verdict', 'seconds', 'objective', 'reason')


def review_jobs(*files: Path, jobs: bool = False, json: bool = False) -> Command:
    """Report how all jobs were served, and why some were late, from log files of all hosts.

    A job is compared with its declared objective: late beyond it, too late beyond
    three times as long. Lines that can't be read are counted and left out.

    :param files: the hosts' logs, in any order; - or none for standard input
    :param jobs: list each job that was not in time
    :param json: write JSON, each job included
    """
    return lambda environment: _review_logs(files, environment, jobs, json)


def _review_logs(
    files: tuple[Path, ...], environment: Environment, jobs: bool, json: bool
) -> CommandOutcome:
    try:
        review_result = review_logs(open_logs(files, environment))
    except OSError as error:
        return Failure(unreadable_file_error(error.filename or 'standard input', error))
    if review_result is None:
        return Failure(ToolError("no line tells of a job; give the hosts' logs", ExitStatus.ERROR))
    return Success(CommandResult(view_review(review_result), _make_writer(jobs), json))


def _make_writer(jobs: bool) -> Callable[[Any, Any], None]:
    def write(stream: Any, content: Any) -> None:
        read = content['read']
        stream.write(f'read {read["lines"]} lines of {read["files"]} files, {read["bad"]} bad\n')
        write_table(stream, content['queues'], ('queue', *VERDICT_COLUMNS))
        stream.write('\n')
        if content['accounts']:
            write_table(stream, content['accounts'], ('account', *VERDICT_COLUMNS))
            stream.write('\n')
        write_table(stream, content['reasons'], ('reason', *MISSED_COLUMNS))
        if jobs:
            stream.write('\n')
            rows = [_format_row(row) for row in content['jobs']]
            write_table(stream, rows, JOB_COLUMNS)

    return write


def _format_row(row: Any) -> dict[str, Any]:
    return {name: '' if field_value is None else field_value for name, field_value in row.items()}
