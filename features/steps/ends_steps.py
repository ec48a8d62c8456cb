"""Steps for runners that have more ends of runs than one poll lists."""

import msgspec
from behave import given, then, when

from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import Progress
from dandelionreel.platform._views import decode_view
from features.cell_parts import SmallCell, step, task

LISTED_ENDS = 500


@given('a task that is done on w1, its end listed after 500 others')
def start_and_end_task(context):
    context.small = SmallCell(('w1',))
    context.small.add_job('j1', [step()])
    context.small.plan()
    assert context.small.runs_on('w1')


@given('a successor that waits for w1 before it starts the tasks of a job')
def start_successor(context):
    context.small = SmallCell(('w1', 'w2'), epoch=2, seen=False)
    context.small.poll('w2')
    context.small.cell.unseen_runners.add('w1')
    progress = Progress(1, JobState.RUNNING, runners=('w1',))
    context.small.add_job('j1', [step()], progress=progress)
    assert not context.small.plan().starts


@when('w1 lists its first 500 ends')
def list_first_ends(context):
    context.small.now += 1
    ends = [(number + 1, task('j0', number), 1, 'done') for number in range(LISTED_ENDS)]
    context.small.poll('w1', ended=ends, complete=False)


@then('an answer with {count:d} ends counts as {completeness}')
def check_answer_complete(context, count, completeness):
    rows = [[number + 1, f'{"a" * 16}.0.0.{number}', 1, 'done', ''] for number in range(count)]
    view = decode_view(msgspec.json.encode({'clock_ms': 5, 'running': [], 'finished': rows}))
    assert view.complete == (completeness == 'complete')


@then('the task is not started again')
def check_not_restarted(context):
    restarts = context.small.plan().starts
    assert not restarts, (
        f'{restarts[0].task} starts as run {restarts[0].run} on {restarts[0].runner}'
    )
