"""Steps for the runners that a job may run on once one of its steps is done."""

import curio
from behave import given, then, when

from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import SUBMISSION_PREFIX, Progress, make_record
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.kernel import ManualClock
from features.cell_parts import SmallCell, step, task
from features.store_parts import make_owner_context
from standins import MemoryTopic


@given('an owner whose job has run on w1, {where}')
def owner_of_job(context, where):
    small = context.small = SmallCell(('w1',))
    context.topic = MemoryTopic()
    owner = make_owner_context(small.cell, ManualClock(small.now), context.topic)
    context.steps = [step(count=2 if 'one of two' in where else 1), step(depends_on=(0,))]
    job = small.add_job('j1', context.steps)
    small.plan()
    for allocation in small.allocations:
        job.record_task_start(allocation.task, allocation.run, allocation.runner)
    job.stored_runners.add('w1')
    if 'not reached' in where:
        small.cell.unseen_runners.add('w1')

    async def store():
        await curio.spawn(owner.writer.run, daemon=True)
        submission = make_record(f'{SUBMISSION_PREFIX}j1', job.submission)
        await context.topic.append([submission], 0.1)
        writes = []
        if 'earlier record' in where:
            writes.append(await curio.spawn(owner.store_progress, [job]))
            await curio.sleep(0)
        list_first_end(small, is_complete='not reached' not in where)
        writes.append(await curio.spawn(owner.flush_progress))
        await curio.sleep(0)
        if 'earlier record' in where:
            await join_all(writes)
        if 'second step' in where or 'decided while' in where or 'earlier record' in where:
            await start_second_step(small, owner, job)
        await join_all(writes)
        if 'may have started' in where:
            small.cell.revoke_start(small.allocations[-1])
            await owner.store_progress([job])

    curio.run(store)


@given('an owner whose job has run on any runner, and its second step runs on w1')
def owner_of_job_on_any_runner(context):
    small = context.small = SmallCell(('w1',))
    context.topic = MemoryTopic()
    owner = make_owner_context(small.cell, ManualClock(small.now), context.topic)
    context.steps = [step(), step()]
    progress = Progress(1, JobState.RUNNING, runners=('*',))
    job = small.add_job('j1', context.steps, progress=progress)
    second = task('j1', step_number=1)
    small.poll('w1', running=[(second, 5)], ended=[(1, task('j1'), 4, 'done')])

    async def store():
        await curio.spawn(owner.writer.run, daemon=True)
        submission = make_record(f'{SUBMISSION_PREFIX}j1', job.submission)
        await context.topic.append([submission], 0.1)
        await owner.flush_progress()

    curio.run(store)


def list_first_end(small, is_complete):
    first, *others = small.allocations
    running = [(one.task, one.run) for one in others]
    ended = [(1, first.task, first.run, 'done')]
    small.poll('w1', running=running, ended=ended, complete=is_complete)


async def start_second_step(small, owner, job):
    (second,) = small.plan().starts
    if job.record_task_start(second.task, second.run, second.runner):
        await owner.store_progress([job])
    assert job.may_have_runs_on('w1')


async def join_all(writes):
    for write in writes:
        await write.join()


@when('its successor does not reach w1')
def successor(context):
    state = CellState()
    state.apply(curio.run(context.topic.snapshot).records)
    progress = state.find_job('j1').progress
    small = context.successor = SmallCell(('w2',), epoch=2)
    small.cell.unseen_runners.add('w1')
    small.add_job('j1', context.steps, progress=progress)


@then('the second step of the job {fate}')
def check_second_step(context, fate):
    starts = context.successor.plan().starts
    assert bool(starts) is (fate == 'can start'), starts
