"""Steps for the load reports of the owner, and for known failures in CI."""

import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import Progress
from dandelionreel.cell.owner._load_report import LoadReport
from features import run
from features.cell_parts import SmallCell, step

RUNNER_MILLICORES = 32_000


class RecordingJournal:
    """Records log lines instead of writing them."""

    def __init__(self):
        self.entries = []

    def log(self, part, sentence, **fields):
        """Record a line."""
        self.entries.append((sentence, fields))

    log_sampled = log


def start_report(context):
    context.lines = RecordingJournal()
    context.load = LoadReport(context.small.cell, SimpleNamespace(waiting_count=0), context.lines)


@given('an owner of 2 runners, both full, and a job that waits')
def full_owner(context):
    context.small = SmallCell()
    context.small.add_job('filling', [step(RUNNER_MILLICORES, count=2)], queue='batch')
    assert len(context.small.plan().starts) == 2
    context.small.add_job('j1', [step()])
    start_report(context)


@given('an owner of 2 runners and a job that may be running on one it has not polled')
def blocked_owner(context):
    context.small = SmallCell()
    context.small.cell.unseen_runners.add('w9')
    progress = Progress(1, JobState.RUNNING, runners=('w9',))
    context.small.add_job('j1', [step()], progress=progress)
    start_report(context)


@given('an owner of 2 runners without jobs')
def idle_owner(context):
    context.small = SmallCell()
    start_report(context)


@when('it has planned for a second')
def plan_for_a_second(context):
    small = context.small
    for _ in range(10):
        context.load.add_plan(small.plan(), 0.01)
        context.load.log_if_due(small.now, small.now, 1)
        small.now += 0.1


@then('one log line reports 1 waiting task of urgent, and {free:d} cores free of {cores:d}')
def reports_full(context, free, cores):
    ((_, fields),) = context.lines.entries
    assert fields['waiting'] == {'urgent': 1}, fields
    assert (fields['cores_free'], fields['cores']) == (free, cores), fields


@then('one log line reports that 1 task is blocked')
def reports_blocked(context):
    ((_, fields),) = context.lines.entries
    assert fields['waiting'] == {'urgent': 1, 'blocked by unseen runners': 1}, fields
    assert fields['unseen'] == 1, fields


@then('it logs nothing about waiting tasks')
def reports_nothing(context):
    assert not context.lines.entries, context.lines.entries


@given('a list of known failures of {count:d} lines')
@given('a list of known failures of {count:d} line')
def known_failures(context, count):
    context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.known = Path(context.folder) / 'KNOWN-RED.txt'
    lines = [f'features/a.feature: Scenario {number} | command | seen' for number in range(count)]
    context.known.write_text('\n'.join(lines) + '\n')


@then('CI rejects the list')
def list_refused(context):
    try:
        run.read_known_red(context.known)
    except ValueError as error:
        assert '4 lines' in f'{error}'
        return
    raise AssertionError('the list of four lines was accepted')


@then('a row of its outline counts as known, and another scenario does not')
def row_known(context):
    known = run.read_known_red(context.known)
    place = SimpleNamespace(filename='features/a.feature')
    row = SimpleNamespace(location=place, name='Scenario 0 -- @1.2 ')
    other = SimpleNamespace(location=place, name='Scenario 01')
    assert run.is_known_red(row, known)
    assert not run.is_known_red(other, known)


def make_owner(context, *steps):
    context.small = SmallCell()
    context.small.add_job('j1', steps)
    start_report(context)


@given('an owner of 2 runners with a job of which no task is placed')
def stalled_owner(context):
    make_owner(context, step(seconds=0.5))


@given('an owner of 2 runners with a job whose run of {seconds:g} s does not end')
def unended_run_owner(context, seconds):
    make_owner(context, step(seconds=seconds))
    context.small.plan()


@given('an owner of 2 runners with a job whose long-running tasks are all placed')
def long_running_owner(context):
    make_owner(context, step(seconds=0.5, long_running=True))
    context.small.plan()


@given('an owner of 2 runners with a job whose step depends on another that does not end')
def depending_owner(context):
    make_owner(context, step(seconds=20), step(seconds=0.5, depends_on=(0,)))
    context.small.plan()


@when('nothing changes for {seconds:d} seconds')
def nothing_changes(context, seconds):
    now = context.small.now
    for second in range(seconds + 1):
        context.load.log_if_due(now + second, now + second, 1)
    context.small.now = now + seconds


def stall_lines(context):
    return [fields for sentence, fields in context.lines.entries if 'makes no progress' in sentence]


@then('one log line names the job, its waiting step and its tickets')
def stall_named(context):
    (fields,) = stall_lines(context)
    assert fields['job'] == 'j1', fields
    assert '1 waiting, 0 placed, 0 done; 0 of 0 runners allowed' in fields['steps'][0], fields
    assert not fields['runs'], fields


@then('it is not logged again within {seconds:d} seconds, and once more after {later:d}')
def stall_repeated(context, seconds, later):
    nothing_changes(context, seconds - 1)
    assert len(stall_lines(context)) == 1, stall_lines(context)
    nothing_changes(context, later - seconds + 1)
    assert len(stall_lines(context)) == 2, stall_lines(context)


@then('one log line names the job, its run and its runner')
def overdue_run_named(context):
    (fields,) = stall_lines(context)
    assert fields['job'] == 'j1', fields
    (run,) = fields['runs']
    assert 'run 1001 on w' in run and 'running for' in run, run


@then('no log line names a stalled job')
def no_stall(context):
    assert not stall_lines(context), stall_lines(context)
