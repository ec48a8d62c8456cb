"""Steps on runners with more ends than one look lists."""

import msgspec
from behave import given, then, when

from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import Progress
from dandelionreel.platform._views import decode_view
from features.cell_parts import SmallCell, step, task

LISTED = 500


@given('a task on w1 that is done there, its end behind 500 others')
def end_behind(context):
    context.small = SmallCell(('w1',))
    context.small.add_job('j1', [step()])
    context.small.plan()
    assert context.small.runs_on('w1')


@given('a successor that waits for w1 with the tasks of a job')
def successor_waits(context):
    context.small = SmallCell(('w1', 'w2'), epoch=2, seen=False)
    context.small.poll('w2')
    context.small.cell.unseen_runners.add('w1')
    progress = Progress(1, JobState.RUNNING, runners=('w1',))
    context.small.add_job('j1', [step()], progress=progress)
    assert not context.small.plan().starts


@when('w1 lists its first 500 ends')
def lists_500(context):
    context.small.now += 1
    ends = [(number + 1, task('j0', number), 1, 'done') for number in range(LISTED)]
    context.small.poll('w1', ended=ends, complete=False)


@then('an answer with {count:d} ends counts as {extent}')
def answer_extent(context, count, extent):
    rows = [[number + 1, f'{"a" * 16}.0.0.{number}', 1, 'done', ''] for number in range(count)]
    view = decode_view(msgspec.json.encode({'clock_ms': 5, 'running': [], 'finished': rows}))
    assert view.complete == (extent == 'complete')


@then('the task is not started again')
def not_again(context):
    again = context.small.plan().starts
    assert not again, f'{again[0].task} starts as run {again[0].run} on {again[0].runner}'
