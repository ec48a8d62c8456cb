"""Steps on learned speeds of runners and durations of runs."""

import random

import curio
from behave import given, then, when

from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.decisions._runner_state import RunnerState, expected_end
from dandelionreel.cell.decisions._speed_filter import (
    CHANGE_LIMIT,
    MIN_TASK_VARIANCE,
    QueueEstimate,
    RunnerEstimate,
    StepRuns,
)
from dandelionreel.cell.model import (
    OWNER_KEY,
    RUNNER_SPEEDS_KEY,
    KeyedRecord,
    Owner,
    RecordBatch,
    RunnerView,
    RunningTask,
    StepName,
    WriterFence,
    make_record,
)
from dandelionreel.cell.owner._speed_records import SpeedRecords
from dandelionreel.cell.store import CellProjection
from dandelionreel.kernel import ManualClock
from features.cell_parts import SmallCell, make_queue, make_registration, step, task
from features.operation_count import OperationCount
from features.store_parts import Host, make_dispatcher
from standins import MemoryTopic

QUEUES = (
    make_queue('urgent'),
    make_queue('advised', advice=(0.01, 0.0001, 2.0)),
    make_queue('batch', 2, slack=20.0, latency=30.0),
    make_queue('tight', 2, slack=1.3),
)
STEP_ERROR = 0.7
TASK_ERROR = 0.2
STEP_WIDTH = 5


def make_runner(number, zone):
    return RunnerState(make_registration(f'w{number}', port=number, zone=zone))


@given(
    '{count:d} runners of which {slow:d} run at 0.55 and the others at {speed:g} of the usual speed'
)
def uneven_runners(context, count, slow, speed):
    context.run_times = RunTimes()
    context.rng = random.Random(1)
    context.runners = [
        make_runner(number, 'south' if number < slow else 'north') for number in range(count)
    ]
    context.speeds = [0.55 if number < slow else speed for number in range(count)]
    context.steps = 0
    context.ended_runs = 0
    context.operations = OperationCount()


def end_step(context, numbers, factor_by_number=None):
    """End one task of a new step on each of these runners, the shortest first."""
    context.steps += 1
    error = context.rng.lognormvariate(0, STEP_ERROR)
    ends = []
    for number in numbers:
        seconds = error * context.rng.lognormvariate(0, TASK_ERROR) / context.speeds[number]
        ends.append((seconds * (factor_by_number or {}).get(number, 1.0), number))
    name = StepName(f'{context.steps}', 0, 0)
    for seconds, number in sorted(ends):
        runner = context.runners[number]
        with context.operations:
            context.run_times.record_completed_run(
                'batch', name, runner, 1.0, seconds, context.steps / 50
            )
        context.ended_runs += 1


@when('each has ended {count:d} runs on average')
def end_runs(context, count):
    context.was_uneven = False
    for _ in range(count * len(context.runners) // STEP_WIDTH):
        end_step(context, context.rng.sample(range(len(context.runners)), STEP_WIDTH))
        context.was_uneven = context.was_uneven or context.run_times.is_uneven


@when('{count:d} runs of a fast runner take {factor:g} times as long')
def slow_runs(context, count, factor):
    last = len(context.runners) - 1
    for _ in range(count):
        others = context.rng.sample(range(last), STEP_WIDTH - 1)
        end_step(context, (last, *others), {last: factor})


@then('speeds are uneven, and {count:d} runners or more have a speed within 25% of their own')
def check_speeds(context, count):
    assert context.run_times.is_uneven
    ratios = [
        context.run_times.speed_of(runner) / speed
        for runner, speed in zip(context.runners, context.speeds, strict=True)
    ]
    assert sum(0.8 < ratio < 1.25 for ratio in ratios) >= count, ratios


@then('speeds were even all the time, and every duration is the declared one')
def check_even(context):
    assert not context.was_uneven
    runner = context.runners[0]
    assert context.run_times.speed_of(runner) == 1.0
    assert context.run_times.expected_seconds('batch', 2.0, runner) == 2.0


@then('its speed counts as {speed_class}')
def check_class(context, speed_class):
    assert context.run_times.is_fast(context.runners[-1]) is (speed_class == 'fast')


@then('an unknown runner in the zone of the slow ones counts as slow')
def check_unknown(context):
    assert not context.run_times.is_fast(make_runner(99, 'south'))
    assert context.run_times.is_fast(make_runner(99, 'north'))


@then('a run has cost fewer operations on average than the sum of {count:d} squares')
def check_cost(context, count):
    with OperationCount() as reference:
        sum(number * number for number in range(count))
    mean = context.operations.count / context.ended_runs
    assert 0 < mean < reference.count, (mean, reference.count)


@given('a runner whose runs have lately taken longer, and a queue of equal tasks')
def runner_about_to_change(context):
    context.runner = RunnerEstimate(None, 0.0, 0.002, runs=10)
    context.runner.change = CHANGE_LIMIT
    context.queue = QueueEstimate()
    context.queue.task_variance = MIN_TASK_VARIANCE


@when('it ends two tasks of one step, the second far later')
def end_two_tasks(context):
    runs = StepRuns()
    for log_ratio in (0.0, 2.0):
        runs.add_run(context.runner, context.queue, log_ratio)


@then('its speed is learned again, with a positive variance')
def check_learned_again(context):
    assert context.runner.change == 0
    assert context.runner.variance > 0, context.runner.variance


def check_bounds(context):
    speeds = [context.run_times.speed_of(runner) for runner in context.runners]
    assert all(0.2 <= speed <= 5 for speed in speeds), speeds


def make_uneven_cell(count, slow):
    """Return a cell of which the first ``slow`` runners are known to be slow, in a zone of theirs."""
    small = SmallCell((), queues=QUEUES)
    for number in range(1, count + 1):
        zone = 'south' if number <= slow else 'north'
        runner = f'w{number}'
        small.registration_by_id[runner] = make_registration(runner, port=number, zone=zone)
    small.update_runners()
    for runner in small.registration_by_id:
        small.poll(runner)
    rows = [(f'w{number}', 55 if number <= slow else 120) for number in range(1, count + 1)]
    small.cell.run_times.restore(rows)
    return small


@given('a cell with the slow runners w1 to w4 and the fast runners w5 to w8')
def two_speeds(context):
    context.small = make_uneven_cell(8, 4)


@when('a task of {seconds:g} s of the queue {queue} is submitted in the zone of {runner}')
def submit_task(context, seconds, queue, runner):
    small = context.small
    zone = small.registration_by_id[runner].zone
    small.add_job('j1', [step(seconds=seconds)], queue=queue, zone=zone)
    (context.start,) = small.plan().starts
    context.estimate = seconds


@then('it is placed on a {speed_class} runner, with its duration there')
def check_placed(context, speed_class):
    runner = context.small.cell.runner_by_id[context.start.runner]
    speed = context.small.cell.run_times.speed_of(runner)
    assert context.small.cell.run_times.is_fast(runner) is (speed_class == 'fast'), runner.id
    assert abs(context.start.expected - context.estimate / speed) < 0.001, context.start


@given('a cell with {count:d} runners, of which the first {slow:d} are slow, and an advised queue')
def advised_cell(context, count, slow):
    context.small = make_uneven_cell(count, slow)


@when('an urgent {kind} needs permits')
def need_permits(context, kind):
    gang = kind == 'gang'
    steps = [step(count=3 if gang else 1, gang=gang)]
    context.small.add_job('j1', steps, queue='advised', zone='south')
    (context.request,) = context.small.plan().advice_requests


@then('its request names only fast runners')
def check_named(context):
    cell = context.small.cell
    runners = [cell.runner_by_id[runner] for runner in context.request.runners]
    assert runners
    assert all(cell.run_times.is_fast(runner) for runner in runners), context.request


def poll_with_percent(small, allocation, percent):
    running = RunningTask(allocation.task, allocation.run, '', percent, 0.0)
    state = small.cell.runner_by_id[allocation.runner]
    small.cell.handle_view(state, RunnerView(small.now, (running,), ()), small.now, small.now)


@when('its runner reports {percent:d} percent after {seconds:d} s')
def report_percent(context, percent, seconds):
    context.small.now += seconds
    poll_with_percent(context.small, context.start, percent)


@then('its end is expected {seconds:d} s later, and not by its progress once speeds are even')
def check_projected_end(context, seconds):
    small = context.small
    assert abs(expected_end(context.start, small.now) - small.now - seconds) < 0.2
    small.cell.run_times.restore((f'w{number}', 100) for number in range(1, 9))
    poll_with_percent(small, context.start, 41)
    assert expected_end(context.start, small.now) < small.now + 1


@given('a cell that records what it learns')
def recording_cell(context):
    context.small = SmallCell(('w1', 'w2'), queues=QUEUES)
    context.learned = []
    context.small.cell.run_times.record_completed_run = lambda *run: context.learned.append(run)


@when('{run} ends as {outcome} after 2 s')
def end_run(context, run, outcome):
    small, first = context.small, task('j1')
    job = small.add_job('j1', [step(count=2 if run == 'a gang' else 1, gang=run == 'a gang')])
    if run == 'a task from a checkpoint':
        job.find_task(first)[1].checkpoint = 'half'
    if run == 'a task of an earlier owner':
        small.poll('w1', [(first, 1)])
        runner, number = 'w1', 1
    else:
        runner, number = small.plan().starts[0].runner, small.allocations[0].run
    small.now += 2
    small.cell.runner_by_id[runner].suspect = run == 'a task on a silent runner'
    small.poll(runner, ended=[(1, first, number, outcome)])


@then('it has learned from {count:d} runs')
def check_learned(context, count):
    assert len(context.learned) == count, context.learned
    assert all(seconds == 2 for *_, seconds, _ in context.learned), context.learned


@given('an owner that has found out which {slow:d} of its {count:d} runners are slow')
def owner_with_speeds(context, slow, count):
    context.topic = MemoryTopic()
    small = make_uneven_cell(count, slow)
    context.records = SpeedRecords(small.cell, 1, RecordingJournal()).take_due_records(0.0)
    context.speeds = small.cell.run_times.stored_speeds()


@when('it is killed and another host owns the cell')
def another_owns(context):
    records = [make_record(OWNER_KEY, Owner(1, 'other', 'other/1')), *context.records]
    curio.run(context.topic.append, records, 0.1, WriterFence(1, 3))
    host = Host('me', context.topic)
    term = curio.run(host.own)
    context.dispatcher = make_dispatcher(host, term, context.topic, host.clock)
    context.dispatcher._load_state()


@then('that host has the same speeds, and stores them at most every 2 s')
def check_same_speeds(context):
    run_times = context.dispatcher.cell.run_times
    assert run_times.is_uneven
    restored = dict(run_times.stored_speeds())
    differences = [abs(restored[runner] - hundredths) for runner, hundredths in context.speeds]
    assert max(differences) <= 3, differences
    take = context.dispatcher._speed_records.take_due_records
    assert [len(take(now)) for now in (10.0, 11.9, 12.0, 12.3)] == [1, 0, 1, 0]


class RecordingJournal:
    """Keeps the lines as texts."""

    def __init__(self):
        self.lines = []

    def log(self, part, sentence, **fields):
        values = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.lines.append(f'{sentence} {values}')


@given('a store with the runner speeds {record}, and 120 for the other runners of 12')
def stored_speeds(context, record):
    others = ''.join(f',["w{number}",120]' for number in range(5, 13))
    record = record.replace(']]', f']{others}]')
    context.journal = RecordingJournal()
    context.projection = CellProjection(ManualClock(), context.journal)
    stored = KeyedRecord(RUNNER_SPEEDS_KEY, record.encode())
    context.projection.apply(RecordBatch((stored, stored), 2, 2))


@when('a host owns the cell and reads them')
def read_speeds(context):
    context.small = SmallCell([f'w{number}' for number in range(1, 13)])
    records = SpeedRecords(context.small.cell, 1, context.journal)
    records.restore(context.projection.state.runner_speeds, context.small.registration_by_id)


@then('every speed is within its bounds, and one line reports {reported}')
def check_reported(context, reported):
    context.run_times = context.small.cell.run_times
    context.runners = list(context.small.cell.runner_by_id.values())
    check_bounds(context)
    (line,) = context.journal.lines
    assert all(part in line for part in reported.split()), line
