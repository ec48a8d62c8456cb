"""Steps on which runners an owner attends to."""

from dataclasses import replace

import curio
from behave import given, then, when

from dandelionreel.cell.decisions._active_runners import ActiveRunners
from dandelionreel.cell.model import Demand, Registration, RunnerView
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.kernel import SystemClock
from features.cell_parts import START, SmallCell, step
from features.store_parts import make_owner_context

SIZE = Demand(16_000, 32_768, 0)
ZONES = 4


def register(number, labels=()):
    rack = f'r-{number // 12}'
    zone = f'zone-{number // 12 % ZONES}'
    return Registration(
        f'w{number}', 'desk', '10.0.0.1', number, zone, SIZE, (*labels, rack), False
    )


@given('{count:d} runners of 16 cores in 4 zones, racks of 12')
def runners(context, count):
    context.small = SmallCell(runners=())
    context.listed = {f'w{number}': register(number, 'a') for number in range(count)}
    context.active = ActiveRunners(context.small.cell)
    choose(context)


def choose(context, later=0.0):
    """Choose, and have the cell know the chosen ones, each looked at once."""
    context.small.now += later
    context.chosen = context.active.choose(context.listed, context.small.now)
    context.small.registration_by_id = context.chosen
    context.small.see_runners()
    for runner in context.chosen:
        if not context.small.cell.runner_by_id[runner].knows_clock():
            context.small.poll(runner)


def fill(context, cores):
    """Run so many cores in tasks of 16, on as many runners as that takes."""
    left = cores // 16
    while left:
        context.small.add_job(f'{left:016x}', [step(16_000, left, 60.0)], 'batch')
        left -= len(context.small.plan().starts)
        choose(context, 1.0)


@when('{cores:d} cores are in use')
def in_use(context, cores):
    fill(context, cores)
    choose(context, 1.0)


@then('{count:d} runners are attended to')
def attended(context, count):
    assert len(context.chosen) == count, len(context.chosen)


@then('each zone has {few:d} to {many:d} of them, in no more than {racks:d} racks')
def spread(context, few, many, racks):
    for zone in range(ZONES):
        mine = [one for one in context.chosen.values() if one.zone == f'zone-{zone}']
        assert few <= len(mine) <= many, (zone, len(mine))
        assert len({one.labels[-1] for one in mine}) <= racks


@given('100 more have the label gpu and none of them is attended to')
def with_label(context):
    for number in range(100_000, 100_100):
        context.listed[f'w{number}'] = register(number, ('gpu',))
    choose(context)


@when('a job comes that requires the label gpu')
def requires_label(context):
    context.small.add_job('f' * 16, [step(required_label='gpu')])
    choose(context, 1.0)


@then('{count:d} runners with that label are attended to')
def attended_with_label(context, count):
    found = [one for one in context.chosen.values() if 'gpu' in one.labels]
    assert len(found) == count, len(found)


@given('6000 cores were in use, and now {what}')
def were_in_use(context, what):
    fill(context, 6000)
    small = context.small
    context.name = next(iter(context.chosen))
    state = small.cell.runner_by_id[context.name]
    for runner in tuple(small.cell.runner_by_id.values()):
        for held in tuple(runner.allocation_by_run.values()):
            if runner is state and what in {'a task runs on x', 'a start on x is in doubt'}:
                if 'doubt' in what:
                    small.cell.take_back(held)
                continue
            small.poll(runner.id, ended=((runner.noted + 1, held.task, held.run, 'done'),))
        runner.confirmed = runner.noted
    if 'acknowledged' in what:
        state.confirmed = state.noted - 1
    if 'former owner' in what:
        small.cell.unseen.add(context.name)


@then('the runner x {fate}')
def runner_fate(context, fate):
    left = {state.id for state in context.active.release_idle(context.listed)}
    assert left, 'none is left'
    assert (context.name in left) is (fate == 'may be left'), fate


class SlowRunner:
    """A runner at which a look waits for a while; counts those under way."""

    def __init__(self):
        self.under_way = 0
        self.looks = 0

    async def poll(self, epoch, acknowledged, lease_until, wait):
        self.under_way += 1
        self.looks += 1
        await curio.sleep(0.05)
        self.under_way -= 1
        return RunnerView(START, (), ())

    async def close(self):
        """Nothing is open."""


@given('an owner that looks at a runner')
def owner_looks(context):
    context.owner = make_owner_context(SmallCell(runners=()).cell, SystemClock())
    context.runner = SlowRunner()


@when('the runner is left and taken again while the look waits')
def left_and_taken(context):
    cell = context.owner.cell

    async def play():
        attendant = RunnerPoller(context.owner)
        registrations = {'w0': replace(register(0, 'a'))}
        for _ in range(3):
            (state,) = cell.see_runners(registrations, 0.0)
            await curio.spawn(attendant.poll, state, context.runner, daemon=True)
            await curio.sleep(0.02)
            cell.leave_runner('w0')
        (context.state,) = cell.see_runners(registrations, 0.0)
        await curio.spawn(attendant.poll, context.state, context.runner, daemon=True)
        await curio.sleep(0.12)
        context.under_way = context.runner.under_way

    curio.run(play)


@then('one look is under way there, by what is known of it now')
def one_look(context):
    assert context.under_way == 1, context.under_way
    assert context.state.knows_clock()
