"""The command that tells how all jobs of the hosts' logs were served, and why not."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from returns.result import Failure, Success

from dandelionreel.cli._ask import ToolError
from dandelionreel.cli._explain import open_all
from dandelionreel.cli._output import write_table
from dandelionreel.cli._shown import Command, Found, Shown, unreadable
from dandelionreel.kernel import Environment, ExitStatus
from dandelionreel.records import review, view_review

SERVED = ('in time', 'late', 'too late', 'refused', 'open', 'cancelled')
LOST = ('late', 'too late', 'refused', 'open')
JOB_COLUMNS = ('sent', 'job', 'queue', 'account', 'verdict', 'seconds', 'objective', 'reason')


def review_jobs(*files: Path, jobs: bool = False, json: bool = False) -> Command:
    """Tell how all jobs were served, and why some were not, from log files of all hosts.

    A job is judged by its objective as it was declared: late beyond it, too late beyond
    three times as long. Lines that can't be read are counted and left out.

    :param files: the hosts' logs, in any order; - or none for standard input
    :param jobs: name each job that was not in time
    :param json: write JSON, each job included
    """
    return lambda environment: _review(files, environment, jobs, json)


def _review(files: tuple[Path, ...], environment: Environment, jobs: bool, json: bool) -> Found:
    try:
        found = review(open_all(files, environment))
    except OSError as error:
        return Failure(unreadable(error.filename or 'standard input', error))
    if found is None:
        return Failure(ToolError("no line tells of a job; give the hosts' logs", ExitStatus.ERROR))
    return Success(Shown(view_review(found), _writer(jobs), json))


def _writer(jobs: bool) -> Callable[[Any, Any], None]:
    def write(stream: Any, content: Any) -> None:
        read = content['read']
        stream.write(f'read {read["lines"]} lines of {read["files"]} files, {read["bad"]} bad\n')
        write_table(stream, content['queues'], ('queue', *SERVED))
        stream.write('\n')
        if content['accounts']:
            write_table(stream, content['accounts'], ('account', *SERVED))
            stream.write('\n')
        write_table(stream, content['reasons'], ('reason', *LOST))
        if jobs:
            stream.write('\n')
            rows = [_plain_row(row) for row in content['jobs']]
            write_table(stream, rows, JOB_COLUMNS)

    return write


def _plain_row(row: Any) -> dict[str, Any]:
    return {name: '' if found is None else found for name, found in row.items()}
