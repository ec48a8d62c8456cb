"""Steps on jobs with far more tasks than the cell can run."""

import time
import tracemalloc
from collections import Counter

import curio
import msgspec
from behave import given, then, when

from dandelionreel.cell.membership import HEARTBEAT_SECONDS
from dandelionreel.cell.model import (
    SUBMISSION_PREFIX,
    JobSpec,
    JobState,
    Submission,
    SubmissionError,
    check_job_spec,
    check_progress,
    make_record,
)
from dandelionreel.cell.store import StoredJob
from dandelionreel.kernel import SystemClock
from dandelionreel.platform import JsonClientCodec
from features.cell_parts import START, SmallCell, step
from features.client_hosts import ClientHost
from features.store_parts import LONG_TIMEOUT
from standins import MemoryTopic

INTERVAL_SECONDS = 60.0
MEGABYTE = 1_000_000


def add_overdue_job(small, times, steps, progress=None, job='j1'):
    """Add a job of which all times are due."""
    spec = JobSpec('x', tuple(steps), times, small.now - times * INTERVAL_SECONDS, INTERVAL_SECONDS)
    submission = Submission('urgent', 'desk', small.now, spec)
    small.cell.update_job(StoredJob(job, submission, False, progress), small.now, small.now)
    return small.cell.job_by_id[job]


@given(
    'a cell in which no runner has the label of {times:d} overdue times of {steps:d} steps of {tasks:d} tasks'
)
def job_without_runner(context, times, steps, tasks):
    context.small = SmallCell([f'w{number}' for number in range(20)])
    context.job_shape = (times, [step(100, tasks, required_label='z')] * steps)
    context.job_count = 1


@given('a cell in which no runner has the label of {jobs:d} jobs of {times:d} overdue times')
def jobs_without_runner(context, jobs, times):
    context.small = SmallCell([f'w{number}' for number in range(20)])
    context.job_shape = (times, [step(100, 60, required_label='z')] * 2)
    context.job_count = jobs


@when('it is planned ten times')
def plan_ten_times(context):
    small = context.small
    tracemalloc.start()
    try:
        for number in range(context.job_count):
            add_overdue_job(small, *context.job_shape, job=f'j{number}')
        for _ in range(10):
            small.now += 0.1
            assert not small.plan().starts
        context.peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    context.seconds = []
    for _ in range(3):
        small.now += 0.1
        began_at = time.perf_counter()
        small.plan()
        context.seconds.append(time.perf_counter() - began_at)


@then('that takes less than {limit:d} MB of memory, and no plan takes longer than a heartbeat')
def small_plans(context, limit):
    assert context.peak < limit * MEGABYTE, context.peak
    assert max(context.seconds) < HEARTBEAT_SECONDS, context.seconds


@given(
    'a cell with {runners:d} runners and a job of {times:d} overdue times of 2 steps, the second after the first'
)
def job_of_many_times(context, runners, times):
    context.runners = [f'w{number}' for number in range(runners)]
    context.small = SmallCell(context.runners)
    context.times = times
    context.steps = [step(8000), step(8000, depends_on=(0,))]
    context.job = add_overdue_job(context.small, times, context.steps)
    context.starts = Counter()
    context.end_numbers = Counter()
    context.running = {runner: [] for runner in context.runners}
    context.largest = 0


def play_once(context, is_endless=lambda run: False):
    """Plan, and let all runs end that may."""
    small = context.small
    small.now += 0.1
    for start in small.plan().starts:
        context.starts[start.task] += 1
        context.running[start.runner].append((start.task, start.run))
    for runner, runs in context.running.items():
        ended = []
        for run in [run for run in runs if not is_endless(run)]:
            runs.remove(run)
            context.end_numbers[runner] += 1
            ended.append((context.end_numbers[runner], *run, 'done'))
        small.poll(runner, runs, ended)
    content = msgspec.json.encode(context.job.progress(1, small.now))
    context.largest = max(context.largest, len(content))


def replace_owner(context):
    """Let another owner go on with the stored progress."""
    small = context.small
    progress = context.job.progress(small.cell.epoch, small.now)
    check_progress(progress, context.job.spec)
    now, epoch = small.now, small.cell.epoch + 1
    context.small = SmallCell(context.runners, epoch)
    context.small.now = now
    context.end_numbers.clear()
    for runner in context.runners:
        context.small.poll(runner, context.running[runner])
    context.job = add_overdue_job(context.small, context.times, context.steps, progress)


@when('it is played to its end, and its owner is replaced {owners:d} times')
def play_to_end(context, owners):
    plans = 0
    while not context.job.is_finished:
        plans += 1
        play_once(context)
        if plans % 10 == 0 and owners:
            owners -= 1
            replace_owner(context)
        assert plans < context.times
    assert not owners


@then('it is completed, and each task was started once')
def completed_once(context):
    assert context.job.state is JobState.COMPLETED
    assert len(context.starts) == 2 * context.times, len(context.starts)
    assert set(context.starts.values()) == {1}


@then('its stored progress never exceeded {limit:d} bytes')
def bounded_progress(context, limit):
    assert 0 < context.largest <= limit, context.largest


@when('it is played for {plans:d} plans, and the first task never ends')
def play_with_endless_task(context, plans):
    for _ in range(plans):
        play_once(context, lambda run: run[0].occurrence == 0)
    assert len(context.starts) > 1000, len(context.starts)


@given('a job of {steps:d} steps of {tasks:d} tasks')
def large_job(context, steps, tasks):
    document = {'spec': 'x', 'steps': [{'count': tasks, 'cpu': 100}] * steps}
    context.body = msgspec.json.encode(document)


@when('a client submits it')
def submit_large_job(context):
    try:
        JsonClientCodec().decode_submission(context.body)
    except SubmissionError as error:
        context.error = f'{error}'


@then('it is told that this is not a job, and which limit it exceeds')
def told_limit(context):
    assert '100000 tasks' in context.error, context.error


@given('unfinished jobs with {count:d} steps')
def many_steps(context, count):
    context.client_host = ClientHost('me', MemoryTopic())
    spec = JobSpec('x', (step(),) * 100)
    check_job_spec(spec)
    records = [
        make_record(f'{SUBMISSION_PREFIX}{number:016x}', Submission('urgent', 'desk', START, spec))
        for number in range(count // 100)
    ]
    curio.run(context.client_host.topic.topic.append, records, LONG_TIMEOUT)


@when('a client submits a job of one step')
def submit_small_job(context):
    async def submit():
        await context.client_host.start()
        await context.client_host.host.follower.wait_until_fresh(
            SystemClock().monotonic(), LONG_TIMEOUT
        )
        return await context.client_host.request('POST')

    context.answer = curio.run(submit)


@then('it is told to retry later, as the jobs have too many steps')
def refused(context):
    assert context.answer.status == 503, context.answer
    assert b'too-many-steps' in context.answer.body, context.answer
    assert b'"not_run"' in context.answer.body, context.answer
    state = context.client_host.host.projection.state
    state.submission_by_id.popitem()
    assert state.may_add_steps(100)
