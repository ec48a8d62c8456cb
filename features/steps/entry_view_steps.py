"""Steps on runners' lists that cannot be read."""

import json

from behave import given, then, when

from dandelionreel.cell.model import JobState, RunnerError, TaskName
from dandelionreel.cell.store import StoredJob
from dandelionreel.platform._views import decode_view
from features.cell_parts import SmallCell, step
from features.entry_parts import (
    JOB,
)


@given('a runner that runs two tasks')
def runs_two(context):
    context.small = SmallCell(('w1',))
    context.small.add_job(JOB, [step(count=2)])
    context.small.plan()
    context.runs = context.small.runs_on('w1')
    context.small.now += 1.0


def row(run, *more):
    name, number = run
    return [f'{name.job}.{name.occurrence}.{name.step}.{name.index}', number, *more]


def look(context, running=(), finished=()):
    """Let the owner process the answer of a poll."""
    body = {'clock_ms': 482113, 'running': list(running), 'finished': list(finished)}
    context.view = decode_view(json.dumps(body).encode())
    small = context.small
    context.effect = small.cell.handle_view(
        small.cell.runner_by_id['w1'], context.view, small.now, small.now
    )


@when('it lists the first one, and in place of the second {bad}')
def lists_bad_row(context, bad):
    first, second = context.runs
    name, number, *_ = row(second)
    bad_rows = {
        'a row that is a number': 7,
        'a row without a run': [name],
        'a name that is no task': ['x.y', number, '', 0, 0],
        'a run of 400 digits': [name, int('9' * 400), '', 0, 0],
        'progress that is a list': [name, number, '', [], 0],
    }
    look(context, [row(first, '', 5, 0), bad_rows[bad]])


@then('the second task still counts there')
def still_counts(context):
    assert set(context.runs) == set(context.small.runs_on('w1'))
    assert not context.effect.lost


@when('it lists the ends 5 and 7 as done, and between them one of an unknown outcome')
def lists_ends(context):
    first, second = context.runs
    strange = TaskName('fedcba9876543210', 0, 0, 0)
    ends = [
        [5, *row(first, 'done', '')],
        [6, *row((strange, 1), 'vanished', '')],
        [7, *row(second, 'done', '')],
    ]
    look(context, (), ends)


@then('the ends that can be read count')
def ends_count(context):
    assert not context.small.runs_on('w1')
    assert context.small.cell.job_by_id[JOB].state is JobState.COMPLETED


@then('no end from {number:d} on is acknowledged')
def not_acknowledged(context, number):
    assert context.small.cell.runner_by_id['w1'].acknowledgeable_end == number - 1


@given("a successor that cannot read a job's submission")
def unreadable_job(context):
    context.small = SmallCell(('w1',), epoch=2)
    stored_job = StoredJob(JOB, None, False, None, submission_unreadable=True)
    context.small.cell.update_job(stored_job, context.small.now, context.small.now)
    assert not context.small.plan().starts


@when('a runner lists an end of the job as done')
def lists_its_end(context):
    context.ends = [(1, TaskName(JOB, 0, 0, 0), 1001, 'done')]
    context.small.poll('w1', ended=context.ends)


@when('the job can be read')
def job_readable(context):
    context.small.add_job(JOB, [step()])


@then('the end counts when it is listed again, and may be acknowledged')
def end_counts(context):
    context.small.poll('w1', ended=context.ends)
    assert context.small.cell.job_by_id[JOB].state is JobState.COMPLETED
    assert not context.small.plan().starts
    assert context.small.cell.runner_by_id['w1'].acknowledgeable_end == 1


@when('it answers a poll with no JSON')
def answers_nothing(context):
    context.attempt = lambda: decode_view(b'{"clock_ms":')


@then('that counts as no answer')
def counts_as_none(context):
    try:
        context.attempt()
    except RunnerError:
        return
    raise AssertionError('no RunnerError was raised')
