"""Steps on the runners that an owner polls."""

from dataclasses import replace

import curio
from behave import given, then, when

from dandelionreel.cell.decisions._active_runners import ActiveRunners
from dandelionreel.cell.model import Demand, Registration, RunnerView
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.kernel import SystemClock
from features.cell_parts import START, SmallCell, step
from features.store_parts import make_owner_context

CAPACITY = Demand(16_000, 32_768, 0)
ZONES = 4


def make_numbered_registration(number, labels=()):
    rack = f'r-{number // 12}'
    zone = f'zone-{number // 12 % ZONES}'
    return Registration(
        f'w{number}', 'desk', '10.0.0.1', number, zone, CAPACITY, (*labels, rack), False
    )


@given('{count:d} runners of 16 cores in 4 zones, racks of 12')
def runners(context, count):
    context.small = SmallCell(runners=())
    context.listed = {
        f'w{number}': make_numbered_registration(number, 'a') for number in range(count)
    }
    context.active = ActiveRunners(context.small.cell)
    choose_active_runners(context)


def choose_active_runners(context, later=0.0):
    """Choose the active runners, add them to the cell and poll each new one once."""
    context.small.now += later
    context.chosen = context.active.choose_runners_to_poll(context.listed, context.small.now)
    context.small.registration_by_id = context.chosen
    context.small.update_runners()
    for runner in context.chosen:
        if not context.small.cell.runner_by_id[runner].knows_clock():
            context.small.poll(runner)


def start_tasks(context, cores):
    """Start tasks of 16 cores until that many cores are in use."""
    remaining = cores // 16
    while remaining:
        context.small.add_job(f'{remaining:016x}', [step(16_000, remaining, 60.0)], 'batch')
        remaining -= len(context.small.plan().starts)
        choose_active_runners(context, 1.0)


@when('{cores:d} cores are in use')
def use_cores(context, cores):
    start_tasks(context, cores)
    choose_active_runners(context, 1.0)


@then('{count:d} runners are polled')
def polled_count(context, count):
    assert len(context.chosen) == count, len(context.chosen)


@then('each zone has {few:d} to {many:d} of them, in no more than {racks:d} racks')
def check_zones_and_racks(context, few, many, racks):
    for zone in range(ZONES):
        in_zone = [one for one in context.chosen.values() if one.zone == f'zone-{zone}']
        assert few <= len(in_zone) <= many, (zone, len(in_zone))
        assert len({one.labels[-1] for one in in_zone}) <= racks


@given('100 more have the label gpu and none of them is polled')
def add_labelled_runners(context):
    for number in range(100_000, 100_100):
        context.listed[f'w{number}'] = make_numbered_registration(number, ('gpu',))
    choose_active_runners(context)


@when('a job that requires the label gpu is submitted')
def requires_label(context):
    context.small.add_job('f' * 16, [step(required_label='gpu')])
    choose_active_runners(context, 1.0)


@then('{count:d} runners with that label are polled')
def polled_with_label(context, count):
    found = [one for one in context.chosen.values() if 'gpu' in one.labels]
    assert len(found) == count, len(found)


@given('6000 cores were in use, and now {what}')
def use_cores_then(context, what):
    start_tasks(context, 6000)
    small = context.small
    context.runner_id = next(iter(context.chosen))
    state = small.cell.runner_by_id[context.runner_id]
    for runner in tuple(small.cell.runner_by_id.values()):
        for held in tuple(runner.allocation_by_run.values()):
            if runner is state and what in {
                'a task runs on x',
                'a start on x has an unknown outcome',
            }:
                if 'unknown' in what:
                    small.cell.revoke_start(held)
                continue
            small.poll(runner.id, ended=((runner.processed_end + 1, held.task, held.run, 'done'),))
        runner.confirmed_end = runner.processed_end
    if 'acknowledged' in what:
        state.confirmed_end = state.processed_end - 1
    if 'former owner' in what:
        small.cell.unseen_runners.add(context.runner_id)


@then('the runner x {fate}')
def check_runner(context, fate):
    released = {state.id for state in context.active.release_idle_runners(context.listed)}
    assert released, 'no runner was released'
    assert (context.runner_id in released) is (fate == 'may be released'), fate


class SlowPollRunner:
    """A runner that answers polls slowly; counts the polls in progress."""

    def __init__(self):
        self.polls_in_progress = 0
        self.polls_started = 0

    async def poll(self, epoch, acknowledged, lease_until, wait):
        self.polls_in_progress += 1
        self.polls_started += 1
        await curio.sleep(0.05)
        self.polls_in_progress -= 1
        return RunnerView(START, (), ())

    async def close(self):
        """Close nothing: no connection is open."""


@given('an owner that polls a runner')
def owner_polls(context):
    context.owner = make_owner_context(SmallCell(runners=()).cell, SystemClock())
    context.runner = SlowPollRunner()


@when('the runner is released and added again during the poll')
def released_and_added(context):
    cell = context.owner.cell

    async def run_polls():
        poller = RunnerPoller(context.owner)
        registrations = {'w0': replace(make_numbered_registration(0, 'a'))}
        for _ in range(3):
            (state,) = cell.update_runners(registrations, 0.0)
            await curio.spawn(poller.poll_runner, state, context.runner, daemon=True)
            await curio.sleep(0.02)
            cell.forget_runner('w0')
        (context.state,) = cell.update_runners(registrations, 0.0)
        await curio.spawn(poller.poll_runner, context.state, context.runner, daemon=True)
        await curio.sleep(0.12)
        context.polls_in_progress = context.runner.polls_in_progress

    curio.run(run_polls)


@then('one poll is in progress there, and it updates the current state of the runner')
def one_poll(context):
    assert context.polls_in_progress == 1, context.polls_in_progress
    assert context.state.knows_clock()
