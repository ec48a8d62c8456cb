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
def runner_with_two_tasks(context):
    context.small = SmallCell(('w1',))
    context.small.add_job(JOB, [step(count=2)])
    context.small.plan()
    context.runs = context.small.runs_on('w1')
    context.small.now += 1.0


def encode_row(run, *more):
    name, number = run
    return [f'{name.job}.{name.occurrence}.{name.step}.{name.index}', number, *more]


def handle_poll_answer(context, running=(), finished=()):
    """Let the owner process the answer of a poll."""
    body = {'clock_ms': 482113, 'running': list(running), 'finished': list(finished)}
    context.view = decode_view(json.dumps(body).encode())
    small = context.small
    context.effect = small.cell.handle_view(
        small.cell.runner_by_id['w1'], context.view, small.now, small.now
    )


@when('it lists the first one, and in place of the second {bad}')
def list_bad_row(context, bad):
    first, second = context.runs
    name, number, *_ = encode_row(second)
    bad_rows = {
        'a row that is a number': 7,
        'a row without a run': [name],
        'an invalid task name': ['x.y', number, '', 0, 0],
        'a run of 400 digits': [name, int('9' * 400), '', 0, 0],
        'progress that is a list': [name, number, '', [], 0],
    }
    handle_poll_answer(context, [encode_row(first, '', 5, 0), bad_rows[bad]])


@then('the second task stays allocated there')
def check_second_counted(context):
    assert set(context.runs) == set(context.small.runs_on('w1'))
    assert not context.effect.lost


@when('it lists the ends 5 and 7 as done, and between them one of an unknown outcome')
def list_ends_with_bad_one(context):
    first, second = context.runs
    unknown_task = TaskName('fedcba9876543210', 0, 0, 0)
    ends = [
        [5, *encode_row(first, 'done', '')],
        [6, *encode_row((unknown_task, 1), 'vanished', '')],
        [7, *encode_row(second, 'done', '')],
    ]
    handle_poll_answer(context, (), ends)


@then('the ends that can be read are processed')
def check_ends_counted(context):
    assert not context.small.runs_on('w1')
    assert context.small.cell.job_by_id[JOB].state is JobState.COMPLETED


@then('no end from {number:d} on is acknowledged')
def check_not_acknowledged(context, number):
    assert context.small.cell.runner_by_id['w1'].acknowledgeable_end == number - 1


@given("a successor that cannot read a job's submission")
def successor_with_unreadable_job(context):
    context.small = SmallCell(('w1',), epoch=2)
    stored_job = StoredJob(JOB, None, False, None, submission_unreadable=True)
    context.small.cell.update_job(stored_job, context.small.now, context.small.now)
    assert not context.small.plan().starts


@when('a runner lists an end of the job as done')
def list_end(context):
    context.ends = [(1, TaskName(JOB, 0, 0, 0), 1001, 'done')]
    context.small.poll('w1', ended=context.ends)


@when('the job can be read')
def make_job_readable(context):
    context.small.add_job(JOB, [step()])


@then('the end is processed when it is listed again, and may be acknowledged')
def check_end_counted(context):
    context.small.poll('w1', ended=context.ends)
    assert context.small.cell.job_by_id[JOB].state is JobState.COMPLETED
    assert not context.small.plan().starts
    assert context.small.cell.runner_by_id['w1'].acknowledgeable_end == 1


@when('it answers a poll with invalid JSON')
def answer_without_json(context):
    context.attempt = lambda: decode_view(b'{"clock_ms":')


@then('the poll counts as unanswered')
def check_no_answer(context):
    try:
        context.attempt()
    except RunnerError:
        return
    raise AssertionError('no RunnerError was raised')
