"""Steps for the tasks of cancelled jobs."""

import curio
from behave import given, then, when

from dandelionreel.cell.model import JobSpec, JobState, StartReply, Submission, WriterFence
from dandelionreel.cell.model._records import (
    CANCELLATION_PREFIX,
    OWNER_KEY,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    Cancellation,
    Owner,
    Progress,
    RunnersInUse,
    make_progress_records,
    make_record,
)
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.cell.store._writer import WriteOutcome
from dandelionreel.kernel import ManualClock
from features.cancelling_parts import MemoryRunner, OneRunnerOwner
from features.cell_parts import SmallCell, step, task
from features.store_parts import LONG_TIMEOUT, make_owner_context, until
from standins import MemoryTopic

#: Seconds within which the task of a cancelled job has to be stopped.
STOP_LIMIT_SECONDS = 3.0
#: Seconds for which a runner is unreachable.
UNREACHABLE_SECONDS = 1.5
#: A run that the previous owner has started.
EARLIER_RUN = (task('j1'), 1001)
#: A lease that never expires.
FOREVER = float('inf')
SUBMITTED = Submission('urgent', 'desk', 5.0, JobSpec('payload', (step(),)))
RECORDS_BY_NAME = {
    'its submission and its cancellation': [
        make_record(f'{SUBMISSION_PREFIX}j1', SUBMITTED),
        make_record(f'{CANCELLATION_PREFIX}j1', Cancellation(6.0)),
    ],
    'its final state': make_progress_records('j1', Progress(1, JobState.CANCELLED, ended_at=7.0)),
    'nothing of it': [],
    'its submission': [make_record(f'{SUBMISSION_PREFIX}j1', SUBMITTED)],
}


def record_stops(context):
    """Record the stops that the dispatcher would send now."""
    stops = [(stop.task, stop.run) for stop in context.small.cell.take_stops()]
    context.stops_sent = [*getattr(context, 'stops_sent', ()), *stops]


@when('the job is cancelled and w1 acknowledges the stop')
def cancel_and_acknowledge(context):
    small = context.small
    context.start = small.allocations[0]
    small.cancel('j1')
    record_stops(context)
    small.cell.handle_stop_reply(context.start, small.now)


@when('a job is planned and cancelled before its start is answered')
def cancel_unanswered(context):
    context.small.add_job('j1', [step()])
    context.start = context.small.plan(start=False).starts[0]
    context.small.cancel('j1')
    record_stops(context)


@when('w1 acknowledges the stop, and then the start')
def acknowledge_both(context):
    small = context.small
    small.cell.handle_stop_reply(context.start, small.now)
    small.cell.handle_start_reply(context.start, StartReply.STARTED, small.now)


@when('a poll that is sent {seconds:f} s later still lists the run')
def list_run_later(context, seconds):
    context.small.now += seconds
    list_run(context)


@given('an order to start a job, which was {fate}')
def start_that_ended(context, fate):
    small = context.small
    small.add_job('j1', [step()])
    context.start = small.plan(start=False).starts[0]
    if fate == 'refused':
        small.cell.handle_start_reply(context.start, StartReply.NO_ROOM, small.now)
    else:
        small.cell.stop_run(context.start)
        small.cell.take_stops()
        small.cell.handle_stop_reply(context.start, small.now)
        small.now += 1
        small.poll('w1')
    assert not small.runs_on('w1')


@when('the job is cancelled, {forgotten}, and w1 lists the run')
def late_run(context, forgotten):
    context.small.cancel('j1')
    if forgotten == 'is dropped by the store':
        context.small.cell.forget_job('j1', context.small.now)
    record_stops(context)
    list_run(context)


@when('the store says that the job has ended')
def end_job_in_store(context):
    context.start = context.small.allocations[0]
    context.small.cell.forget_job('j1', context.small.now)
    list_run(context)


def list_run(context):
    """Let w1 list the run in two successive polls."""
    running = [(context.start.task, context.start.run)]
    context.small.poll('w1', running=running)
    context.small.poll('w1', running=running)
    record_stops(context)


@then('w1 is told to stop it {times}')
def told_to_stop(context, times):
    run = (context.start.task, context.start.run)
    assert context.stops_sent == [run] * {'once': 1, 'twice': 2}[times], context.stops_sent


@when('w1 lists a run of an unknown job')
def unknown_run(context):
    context.small.poll('w1', running=[EARLIER_RUN])
    (context.unknown_run_stop,) = context.small.cell.take_stops()
    context.small.cell.handle_stop_reply(context.unknown_run_stop, context.small.now)


@when('w1 no longer lists the unknown run')
def unknown_gone(context):
    context.small.now += 1
    context.small.poll('w1')
    context.plan = context.small.plan()


@then('the new job starts')
def new_job_starts(context):
    assert len(context.plan.starts) == 1, context.plan
    assert context.small.used('w1') == context.plan.starts[0].demand.cpu


@given('an owner whose start gets no answer and whose retry is refused: {reply}')
def owner_with_refused_retry(context, reply):
    owner_with_runner(context)
    context.runner.replies.extend((None, StartReply(reply)))


@given('an owner with a runner that answers')
def owner_with_runner(context):
    context.small = SmallCell(('w1',))
    context.runner = MemoryRunner(ManualClock(context.small.now))
    context.owner = make_owner_context(
        context.small.cell,
        ManualClock(context.small.now),
        make_runner=lambda registration: context.runner,
    )
    context.owner.add_runner_client(context.small.cell.runner_by_id['w1'])


@when('it has sent the start')
def send_start(context):
    job = context.small.add_job('j1', [step()])
    job.stored_runners.add('w1')
    plan = context.small.plan(start=False)
    (context.start,) = plan.starts

    async def send():
        await OrderSender(context.owner).send_starts(plan.starts)
        await until(lambda: not context.runner.replies)
        await curio.sleep(0)

    curio.run(send)


@when('a job is cancelled before its start is sent')
def cancel_before_send(context):
    small = context.small
    job = small.add_job('j1', [step()])
    job.stored_runners.add('w1')
    plan = small.plan(start=False)
    small.cancel('j1')

    async def send():
        await OrderSender(context.owner).send_starts(plan.starts)
        await until(lambda: not small.runs_on('w1'))

    curio.run(send)


@then('nothing was sent, and the next job starts there at once')
def next_job_at_once(context):
    assert not context.runner.running
    context.small.add_job('j2', [step()])
    assert [start.task.job for start in context.small.plan().starts] == ['j2']


@then('the run counts as running until the runner has acknowledged a stop')
def counts_until_stopped(context):
    small = context.small
    run = (context.start.task, context.start.run)
    assert small.runs_on('w1') == (run,), small.runs_on('w1')
    (stop,) = small.cell.take_stops()
    curio.run(OrderSender(context.owner).send_stop, stop)
    assert context.runner.stopped == [run]
    small.now += 1
    small.poll('w1')
    assert not small.runs_on('w1')


@given('a runner that runs a task of a cancelled job, {condition}')
def earlier_run(context, condition):
    context.owner = OneRunnerOwner(MemoryTopic())
    context.owner.runner.running[EARLIER_RUN] = FOREVER
    context.owner.runner.reachable = not condition.startswith('unreachable')
    if condition == 'no longer listed':
        context.owner.remove_entry()


@given('a store that has {record}')
def store_that_has(context, record):
    curio.run(append_all, context.owner.topic, RECORDS_BY_NAME[record])


async def append_all(topic, records):
    """Store the records of a previous owner, and the claim of its successor."""
    runners_in_use = make_record(RUNNERS_IN_USE_KEY, RunnersInUse(1, ('w1',)))
    await topic.append([*records, runners_in_use], 0.1, WriterFence(1, 1))
    claim = make_record(OWNER_KEY, Owner(2, 'me', 'me/1'))
    await topic.append([claim], 0.1, WriterFence(2, 0))


@given('a runner that starts a task of the cancelled job {when}, and ignores its first stop')
def runner_ignoring_stop(context, when):
    earlier_run(context, 'listed')
    store_that_has(context, 'its final state')
    context.owner.runner.ignored_stops = 1
    if when == 'during a long poll':
        context.owner.runner.running.clear()


@when('another host takes over')
def take_over(context):
    owner = context.owner

    async def dispatch():
        await owner.begin()
        if not owner.runner.running:
            await until(lambda: owner.runner.waiting)
            owner.runner.running[EARLIER_RUN] = FOREVER
        await wait_until_gone(owner)

    curio.run(dispatch)


async def wait_until_gone(owner):
    """Make the runner reachable again after the partition, and wait for its task to end."""
    if not owner.runner.reachable:
        await curio.sleep(UNREACHABLE_SECONDS)
        owner.runner.reachable = True
    owner.reachable_at = owner.clock.monotonic()
    await curio.ignore_after(LONG_TIMEOUT, until, lambda: not owner.runner.running)


@then('the task is stopped within 3 s of its start')
@then('the task is stopped within 3 s of the runner becoming reachable')
def stopped_in_time(context):
    runner = context.owner.runner
    assert runner.stopped_at is not None, 'the task was never stopped'
    took = runner.stopped_at - context.owner.reachable_at
    assert took <= STOP_LIMIT_SECONDS, took
    assert set(runner.stopped) == {EARLIER_RUN}, runner.stopped


@given('an owner with a running task on a runner')
def owner_with_task(context):
    earlier_run(context, 'listed')
    store_that_has(context, 'its submission')


@when('the runner becomes unreachable, the job is cancelled, and 1.5 s pass')
def cancel_out_of_reach(context):
    owner = context.owner

    async def cancel():
        await owner.begin()
        await until(lambda: has_adopted_run(owner))
        owner.runner.reachable = False
        assert await owner.dispatcher.cancel_job('j1', LONG_TIMEOUT) is WriteOutcome.STORED
        await wait_until_gone(owner)

    curio.run(cancel)


def has_adopted_run(owner):
    """Return whether the owner has found the task that its predecessor started."""
    runner = owner.dispatcher.cell.runner_by_id.get('w1')
    return runner is not None and EARLIER_RUN in runner.allocation_by_run
