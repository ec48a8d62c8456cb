"""Steps on a job that is submitted again while a snapshot is reloaded."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._model import JobSpec, JobState
from dandelionreel.cell.model._records import (
    PROGRESS_PREFIX,
    SUBMISSION_PREFIX,
    Progress,
    Submission,
    make_progress_records,
    make_record,
)
from dandelionreel.cell.model._services import RecordBatch
from dandelionreel.cell.store._writer import WriteOutcome
from features.cell_parts import step
from features.store_parts import Host, make_dispatcher
from standins import MemoryTopic

JOB = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))


@given('an owner that lost track of a job that ended while it read a snapshot')
def make_owner_without_ended_job(context):
    context.topic = MemoryTopic()
    context.host = Host('me', context.topic)
    cell_state = context.host.projection.state
    running = make_record(f'{PROGRESS_PREFIX}j1', Progress(1, JobState.RUNNING, runners=('w1',)))
    cell_state.apply([make_record(f'{SUBMISSION_PREFIX}j1', JOB), running])
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.dispatcher = make_dispatcher(context.host, term, context.topic, context.host.clock)
    context.dispatcher._load_state()
    cell = context.dispatcher.cell
    job = cell.job_by_id['j1']
    job.mark_task_done(job.steps(0)[0].tasks[0].name)
    assert job.state is JobState.COMPLETED
    # The page with progress was read before the end, the one with submissions after it.
    context.host.projection.load_snapshot(RecordBatch((running,), 1, 1))
    for job_id in cell_state.take_changed_jobs():
        context.dispatcher._reload_job(job_id)


@when('the job is submitted again, and then the owner reads its end')
def submitted_again(context):
    async def submit_again():
        dispatcher = context.dispatcher
        await curio.spawn(dispatcher._owner_context.writer.run, daemon=True)
        return await dispatcher.accept_job('j1', JOB, 1.0)

    assert curio.run(submit_again) is WriteOutcome.STORED
    cell_state = context.host.projection.state
    cell_state.apply(make_progress_records('j1', Progress(1, JobState.COMPLETED, ended_at=1.0)))
    cell_state.apply(context.topic.records)
    for job_id in cell_state.take_changed_jobs():
        context.dispatcher._reload_job(job_id)


@then('no task of the job is started again')
def check_not_started_again(context):
    job = context.dispatcher.cell.job_by_id.get('j1')
    assert job is None or job.is_finished, (
        f'{job.id} is {job.state.value} at the owner and finished in the store'
    )
