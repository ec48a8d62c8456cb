"""Steps on placement over several availability zones."""

from behave import given, then, when

from dandelionreel.cell.model import Demand, Permit, StartReply
from features.cell_parts import SmallCell, make_registration, step


def make_cell(zones, count):
    """Return a cell with so many runners in each zone, all seen."""
    small = SmallCell(runners=())
    small.ends = 1
    for number in range(count):
        for zone in zones:
            name = f'{zone or "w"}-{number}'
            small.registration_by_id[name] = make_registration(name, zone=zone)
    small.see_runners()
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
            state.room = Demand(12_000, 65_536, 0)


@given('{count:d} runners that name no zone')
def unzoned_cell(context, count):
    context.small = make_cell(('',), count)
    context.zones = ('',)


def zone_of(small, allocation):
    return small.cell.runner_by_id[allocation.runner].registration.zone


def send(small, allocation):
    """Note that a start leaves, as orders do; return its zone."""
    zone = zone_of(small, allocation)
    small.cell.zone_reachability.note_order(zone, allocation.runner, small.now)
    return zone


@when('south falls silent, and {jobs:d} jobs of {tasks:d} tasks come every 0.1 s for 1 s')
def jobs_come(context, jobs, tasks):
    small = context.small
    began = small.now
    context.lost = []
    for number in range(20):
        for job in range(jobs if number % 2 == 0 else 0):
            small.add_job(f'{number:08x}{job:08x}', [step(10_000, tasks)])
        for allocation in small.plan(start=False).starts:
            if send(small, allocation) == 'south':
                context.lost.append(small.now - began)
                continue
            small.cell.zone_reachability.note_answer(zone_of(small, allocation))
            end(small, allocation)
        small.now += 0.05


def end(small, allocation):
    """Let a task be done as soon as it has started."""
    small.cell.start_answered(allocation, StartReply.STARTED, small.now)
    small.poll(allocation.runner, ended=[(small.ends, allocation.task, allocation.run, 'done')])
    small.ends += 1


@then('at most {count:d} starts go to south, all of them within {seconds:g} s')
def few_lost(context, count, seconds):
    assert context.lost, 'none went there at all'
    assert len(context.lost) <= count, len(context.lost)
    assert max(context.lost) <= seconds, max(context.lost)


@when('a runner of south answers again')
def south_answers(context):
    context.small.cell.zone_reachability.note_answer('south')


@then('starts go to south once more')
def south_used(context):
    context.small.add_job('f' * 16, [step(20_000, 24)])
    starts = context.small.plan(start=False).starts
    assert 'south' in {zone_of(context.small, allocation) for allocation in starts}


def leave_unanswered(context, runners, seconds):
    """Let orders leave for runners, and so much time pass."""
    small = context.small
    for runner in runners:
        zone = small.registration_by_id[runner].zone
        small.cell.zone_reachability.note_order(zone, runner, small.now)
    small.now += seconds


@when('one runner of south leaves its orders unanswered')
def one_silent(context):
    leave_unanswered(context, ['south-1', 'south-1'], 0.5)


@when('two runners of south are slow, and another one there answers')
def two_slow(context):
    leave_unanswered(context, ['south-1', 'south-2'], 0.5)
    context.small.cell.zone_reachability.note_answer('south')


@when('two runners of south have had an order for {seconds:g} s')
def two_early(context, seconds):
    leave_unanswered(context, ['south-1', 'south-2'], seconds)


@when('runners of all zones leave their orders unanswered')
def all_silent(context):
    leave_unanswered(context, [f'{zone}-{n}' for zone in context.zones for n in (0, 1)], 0.5)


@when('two of them leave their orders unanswered')
def two_of_them(context):
    leave_unanswered(context, ['w-0', 'w-1'], 0.5)


@then('no zone is in doubt')
def no_doubt(context):
    assert not context.small.cell.zone_reachability.unreachable_zones(
        context.zones, context.small.now
    )


@when('{count:d} jobs of 2 tasks come from clients of all zones, {kind}')
def jobs_of_all_zones(context, count, kind):
    small = context.small
    queue = 'advised' if 'advice' in kind else 'urgent'
    for number in range(count):
        job = f'{number:016x}'
        steps = [step(1000, 2, gang=kind == 'as gangs')]
        small.add_job(job, steps, queue=queue, zone=context.zones[number % 3])
    made = small.plan()
    while made.advice_requests:
        for question in made.advice_requests:
            permits = [Permit(runner, 'ticket') for runner in question.runners]
            small.cell.tickets.note_answer(question.step, question.runners, permits, small.now + 2)
        made = small.plan()


@then('a cut of any zone holds up at most {count:d} of them')
def few_held_up(context, count):
    small = context.small
    jobs_by_zone = {zone: set() for zone in context.zones}
    for allocation in small.allocations:
        jobs_by_zone[zone_of(small, allocation)].add(allocation.task.job)
    assert len(small.allocations) == 180, len(small.allocations)
    held_up = {zone: len(jobs) for zone, jobs in jobs_by_zone.items()}
    assert max(held_up.values()) <= count, held_up


@when('{count:d} jobs of {cores:d} cores come from clients of north')
def jobs_of_north(context, count, cores):
    for number in range(count):
        context.small.add_job(f'{number:016x}', [step(cores * 1000)], zone='north')
    context.small.plan()


@then('all {count:d} seats are taken, those of north first')
def all_taken(context, count):
    taken = [zone_of(context.small, allocation) for allocation in context.small.allocations]
    assert len(taken) == count, len(taken)
    assert taken[:8] == ['north'] * 8, taken
