"""Steps on gangs that are placed by the speeds of runners."""

from behave import given, then, when

from dandelionreel.cell.decisions._run_times import RunTimes
from dandelionreel.cell.model import Permit, RunnerView, RunningTask
from dandelionreel.cell.owner._load_report import LoadReport
from features.cell_parts import SmallCell, step

SLOT = 20_000
RUNNER_CPU = 32_000


class FakeSpeeds(RunTimes):
    """Speeds by runner, as if they had been learned."""

    is_uneven = True

    def __init__(self, speed_by_runner):
        super().__init__()
        self._speed_by_runner = speed_by_runner
        self._low_speed = min(speed_by_runner.values())
        self._high_speed = max(speed_by_runner.values())

    def speed_of(self, runner):
        return self._speed_by_runner[runner.id]

    def expected_seconds(self, queue, estimate, runner=None):
        return estimate if runner is None else estimate / self._speed_by_runner[runner.id]


class Lines:
    """A journal that keeps the fields of its lines."""

    def __init__(self):
        self.lines = []

    def log(self, part, sentence, **fields):
        self.lines.append(fields)

    log_sampled = log


def make_cell(context, speed_by_runner):
    """Create a cell in which a runner has one slot for a gang's member."""
    small = context.small = SmallCell(tuple(speed_by_runner))
    small.cell.run_times = FakeSpeeds(speed_by_runner)
    return small


def fill(small, runners, seconds, queue='urgent', **fields):
    """Fill some runners, so that they have no slot for a member."""
    others = [state for state in small.cell.runner_by_id.values() if state.id not in runners]
    for state in others:
        state.suspect = True
    name = f'fill-{"-".join(runners)}'
    small.add_job(name, [step(RUNNER_CPU, len(runners), seconds, **fields)], queue=queue)
    plan = small.plan()
    assert len(plan.starts) == len(runners)
    for state in others:
        state.suspect = False
    return plan


def add_gang(small, name, count, seconds=4.0, queue='gangs', cpu=SLOT):
    small.add_job(name, [step(cpu, count, seconds, gang=True)], queue=queue)


@given(
    'runners of speed {fast:g} with {free:d} slots and of speed {slow:g} with {slots:d} slots for a gang'
)
def uneven_runners(context, fast, free, slow, slots):
    names = {f'fast-{number}': fast for number in range(max(free, 3))}
    names.update({f'slow-{number}': slow for number in range(slots)})
    small = make_cell(context, names)
    context.filled = [name for name in names if name.startswith('fast')][free:]
    if context.filled:
        context.first_plan = fill(small, context.filled, 30.0)


@given('the tasks on the fast runners end in {seconds:g} s')
def fast_ends(context, seconds):
    for runner in context.filled:
        for allocation in context.small.cell.runner_by_id[runner].allocation_by_run.values():
            allocation.expected = seconds


@given('the speeds count as even')
def even_speeds(context):
    context.small.cell.run_times.is_uneven = False


@when('a gang of 3 tasks of 4 s becomes ready')
def gang_ready(context):
    add_gang(context.small, 'g1', 3)
    context.plan = context.small.plan()


def kinds_of(plan):
    return sorted(start.runner.split('-')[0] for start in plan.starts)


@then('its members start on {kinds}')
def members_on(context, kinds):
    assert kinds_of(context.plan) == ([] if kinds == 'nothing' else kinds.split()), context.plan


@then('its members start in the order of free capacity')
def members_by_capacity(context):
    assert [start.runner for start in context.plan.starts] == ['fast-0', 'slow-0', 'slow-1']


@when('those tasks overrun until the gang starts')
def overrun(context):
    small = context.small
    context.ready_at = small.now
    while not context.plan.starts:
        small.now += 0.1
        context.plan = small.plan()
        assert small.now < context.ready_at + 30


@then('it has waited for {least:g} s to {most:g} s')
def has_waited(context, least, most):
    assert least <= context.small.now - context.ready_at <= most, context.small.now


@given('a gang with a ticket for a slow runner whose other request is not answered yet')
def half_answered(context):
    small = make_cell(context, {'fast-0': 1.2, 'slow-0': 0.55})
    add_gang(small, 'g1', 2, queue='advised', cpu=8000)
    context.step_name = small.plan().advice_requests[0].step
    small.cell.tickets.of(context.step_name).pending = 2
    record_permit(small, context.step_name, 'slow-0')
    assert not small.plan().starts


def record_permit(small, name, runner):
    small.cell.tickets.record_advice(name, [runner], [Permit(runner, 't')], small.now + 2)


@when('the answer allows a fast runner')
def second_answer(context):
    record_permit(context.small, context.step_name, 'fast-0')
    context.plan = context.small.plan()


@given('two gangs that each wait for one fast runner of their own')
def two_gangs(context):
    small = make_cell(context, {'fast-0': 1.2, 'fast-1': 1.2, 'slow-0': 0.55, 'slow-1': 0.55})
    fill(small, ['fast-0'], 1.0)
    fill(small, ['fast-1'], 1.5)
    for name in ('g1', 'g2'):
        add_gang(small, name, 1)
    assert not small.plan().starts


def end_run_on(small, runner, number):
    run = small.runs_on(runner)[0]
    # Sooner than the reservations are renewed.
    small.now += 0.02
    small.poll(runner, ended=[(number, *run, 'done')])
    return [(start.task.job, start.runner) for start in small.plan().starts]


@when('the runner of the second comes free first')
def second_free(context):
    context.first_starts = end_run_on(context.small, 'fast-1', 1)


@then('the first gang starts there, and the second one on the other runner later')
def both_start(context):
    assert context.first_starts == [('g1', 'fast-1')], context.first_starts
    assert end_run_on(context.small, 'fast-0', 1) == [('g2', 'fast-0')]


@given('a gang that waits 2 s for both runners, each of speed {speed:g}')
def waits_for_both(context, speed):
    small = make_cell(context, {'r1': speed, 'r2': speed})
    # Their expected duration is learned, too: 2 s at that speed.
    small.add_job('u1', [step(SLOT, 2, 2.0 * speed)])
    assert len(small.plan().starts) == 2
    add_gang(small, 'g1', 2)


@when('a batch task of 1 s is submitted, too')
def batch_task(context):
    context.small.add_job('b1', [step(4000, seconds=1.0)], queue='batch')
    context.plan = context.small.plan()


@then('it starts: {answer}')
def starts_or_not(context, answer):
    assert [start.task.job for start in context.plan.starts] == ['b1'] * (answer == 'yes')


@given('runners of speed 1.0 on which batch tasks have run for {first:g} s and {second:g} s')
def batch_running(context, first, second):
    small = make_cell(context, {'r1': 1.0, 'r2': 1.0})
    now = small.now
    for runner, seconds in (('r1', first), ('r2', second)):
        small.now = now - seconds
        fill(small, [runner], seconds + 4.0, 'batch', checkpointing=True)
    small.now = now


@given('the tasks on r1 have listed a checkpoint just now')
def checkpoint_listed(context):
    small = context.small
    running = tuple(RunningTask(*run, 'saved', 0, 0.0) for run in small.runs_on('r1'))
    view = RunnerView(small.now, running, ())
    small.cell.handle_view(small.cell.runner_by_id['r1'], view, small.now, small.now)


@when('a gang waits for one of them for 4 s')
def gang_for_one(context):
    add_gang(context.small, 'g1', 1)
    context.plan = context.small.plan()


@then('the stopped tasks are those on {runner}')
def stopped_on(context, runner):
    stopped = {victim.runner for victim in context.plan.preempted}
    assert stopped == ({runner} - {'nothing'}), context.plan


@then('the log has the speed groups, and the wait with its inputs')
def wait_logged(context):
    journal = Lines()
    report = LoadReport(context.small.cell, None, journal)
    report.add_plan(context.first_plan, 0.0)
    report.add_plan(context.plan, 0.0)
    groups, wait = journal.lines
    assert groups['runners_by_level'] == [3], groups
    rounded = [
        round(wait[name], 2) for name in ('slow_seconds', 'fast_seconds', 'starts_in', 'max_wait')
    ]
    assert rounded == [7.27, 3.33, 2.0, 3.94], wait
