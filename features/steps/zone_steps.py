"""Steps on placement over several availability zones."""

from behave import given, then, when

from dandelionreel.cell.model import Demand, Permit, StartReply
from features.cell_parts import SmallCell, make_registration, step


def make_cell(zones, count):
    """Return a cell with ``count`` runners in each zone, each polled once."""
    small = SmallCell(runners=())
    small.ends = 1
    for number in range(count):
        for zone in zones:
            name = f'{zone or "w"}-{number}'
            small.registration_by_id[name] = make_registration(name, zone=zone)
    small.update_runners()
    for name in small.registration_by_id:
        small.poll(name)
    return small


@given('{count:d} runners in each of the zones north, south and west')
def zoned_cell(context, count):
    context.small = make_cell(('north', 'south', 'west'), count)
    context.zones = ('north', 'south', 'west')


@given(
    '{count:d} runners in each of the zones north, south and west, those outside south nearly full'
)
def full_cell(context, count):
    zoned_cell(context, count)
    cell = context.small.cell
    for state in cell.runner_by_id.values():
        if state.registration.zone != 'south':
            state.free_capacity = Demand(12_000, 65_536, 0)


@given('{count:d} runners that name no zone')
def unzoned_cell(context, count):
    context.small = make_cell(('',), count)
    context.zones = ('',)


def zone_of(small, allocation):
    return small.cell.runner_by_id[allocation.runner].registration.zone


def send(small, allocation):
    """Note that a start order is sent to its runner; return the zone."""
    zone = zone_of(small, allocation)
    small.cell.zone_reachability.record_sent_order(zone, allocation.runner, small.now)
    return zone


@when('south stops answering, and {jobs:d} jobs of {tasks:d} tasks arrive every 0.1 s for 1 s')
def submit_rounds(context, jobs, tasks):
    small = context.small
    started_at = small.now
    context.lost_at = []
    for number in range(20):
        for job in range(jobs if number % 2 == 0 else 0):
            small.add_job(f'{number:08x}{job:08x}', [step(10_000, tasks)])
        for allocation in small.plan(start=False).starts:
            if send(small, allocation) == 'south':
                context.lost_at.append(small.now - started_at)
                continue
            small.cell.zone_reachability.record_zone_answer(zone_of(small, allocation))
            end(small, allocation)
        small.now += 0.05


def end(small, allocation):
    """Confirm a start and have the runner list the task as done."""
    small.cell.handle_start_reply(allocation, StartReply.STARTED, small.now)
    small.poll(allocation.runner, ended=[(small.ends, allocation.task, allocation.run, 'done')])
    small.ends += 1


@then('at most {count:d} starts go to south, all of them within {seconds:g} s')
def lost_starts(context, count, seconds):
    assert context.lost_at, 'none went there at all'
    assert len(context.lost_at) <= count, len(context.lost_at)
    assert max(context.lost_at) <= seconds, max(context.lost_at)


@when('a runner of south answers again')
def south_answers(context):
    context.small.cell.zone_reachability.record_zone_answer('south')


@then('starts go to south again')
def check_south_used(context):
    context.small.add_job('f' * 16, [step(20_000, 24)])
    starts = context.small.plan(start=False).starts
    assert 'south' in {zone_of(context.small, allocation) for allocation in starts}


def leave_unanswered(context, runners, seconds):
    """Send orders to runners, and let time pass without an answer."""
    small = context.small
    for runner in runners:
        zone = small.registration_by_id[runner].zone
        small.cell.zone_reachability.record_sent_order(zone, runner, small.now)
    small.now += seconds


@when('one runner of south leaves its orders unanswered')
def one_unanswered(context):
    leave_unanswered(context, ['south-1', 'south-1'], 0.5)


@when('two runners of south are slow, and another one there answers')
def two_slow(context):
    leave_unanswered(context, ['south-1', 'south-2'], 0.5)
    context.small.cell.zone_reachability.record_zone_answer('south')


@when('two runners of south have not answered an order for {seconds:g} s')
def leave_two_unanswered_briefly(context, seconds):
    leave_unanswered(context, ['south-1', 'south-2'], seconds)


@when('runners of all zones leave their orders unanswered')
def leave_all_zones_unanswered(context):
    leave_unanswered(context, [f'{zone}-{n}' for zone in context.zones for n in (0, 1)], 0.5)


@when('two of them leave their orders unanswered')
def two_of_them(context):
    leave_unanswered(context, ['w-0', 'w-1'], 0.5)


@then('no zone counts as unreachable')
def no_zone_unreachable(context):
    assert not context.small.cell.zone_reachability.unreachable_zones(
        context.zones, context.small.now
    )


@when('{count:d} jobs of 2 tasks are submitted by clients of all zones, {kind}')
def jobs_of_all_zones(context, count, kind):
    small = context.small
    queue = 'advised' if 'advice' in kind else 'urgent'
    for number in range(count):
        job = f'{number:016x}'
        steps = [step(1000, 2, gang=kind == 'as gangs')]
        small.add_job(job, steps, queue=queue, zone=context.zones[number % 3])
    plan = small.plan()
    while plan.advice_requests:
        for request in plan.advice_requests:
            permits = [Permit(runner, 'ticket') for runner in request.runners]
            small.cell.tickets.record_advice(request.step, request.runners, permits, small.now + 2)
        plan = small.plan()


@then('a partition of any zone delays at most {count:d} of them')
def delayed_jobs(context, count):
    small = context.small
    jobs_by_zone = {zone: set() for zone in context.zones}
    for allocation in small.allocations:
        jobs_by_zone[zone_of(small, allocation)].add(allocation.task.job)
    assert len(small.allocations) == 180, len(small.allocations)
    delayed_by_zone = {zone: len(jobs) for zone, jobs in jobs_by_zone.items()}
    assert max(delayed_by_zone.values()) <= count, delayed_by_zone


@when('{count:d} jobs of {cores:d} cores are submitted by clients of north')
def jobs_of_north(context, count, cores):
    for number in range(count):
        context.small.add_job(f'{number:016x}', [step(cores * 1000)], zone='north')
    context.small.plan()


@then('all {count:d} slots are used, those of north first')
def slots_used(context, count):
    taken = [zone_of(context.small, allocation) for allocation in context.small.allocations]
    assert len(taken) == count, len(taken)
    assert taken[:8] == ['north'] * 8, taken
