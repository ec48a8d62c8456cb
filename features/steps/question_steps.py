"""Steps on questions to the policy service while much waits."""

from behave import given, then, when

from dandelionreel.cell import Permit
from features.cell_parts import SmallCell, make_queue, step

FULL = 32_000
ADVICE = (0.1, 0.002, 2.0)


@given('a cell of {count:d} runners whose batch queue asks for advice')
def batch_cell(context, count):
    queues = (
        make_queue('urgent', advice=ADVICE),
        make_queue('gangs', 1, 4, 2.2, 1.0),
        make_queue('batch', 2, 3, 4.0, 3.0, advice=ADVICE),
        make_queue('plain', 3, slack=4.0),
    )
    context.small = SmallCell([f'r{number}' for number in range(count)], queues=queues)


@given('a cell of {count:d} runners, all of them reserved for a gang')
def reserved_cell(context, count):
    batch_cell(context, count)
    context.small.add_job('filling', [step(20_000, count=count, seconds=5)], queue='plain')
    assert len(context.small.plan().starts) == count
    context.small.add_job('gang', [step(FULL, count=count, gang=True)], queue='gangs')
    assert not context.small.plan().starts


@when("batch jobs are handed in that would end after the gang's turn")
def long_batch(context):
    for number in range(3):
        context.small.add_job(f'j{number}', [step(count=2, seconds=30)], queue='batch')
    context.made = context.small.plan()


@when('{count:d} batch jobs are handed in')
def batch_jobs(context, count):
    for number in range(count):
        context.small.add_job(f'j{number}', [step(count=2)], queue='batch')
    context.made = context.small.plan()


@then('their questions name {count:d} runners or more')
def named_runners(context, count):
    named = {runner for question in context.made.questions for runner in question.runners}
    assert len(named) >= count, sorted(named)


@when('a batch job is handed in that the store is slow to take')
def slow_job(context):
    context.small.add_job('j1', [step(count=2)], queue='batch').stored = False
    context.made = context.small.plan()
    assert len(context.made.questions) == 1


@when('it has tickets for runners with room')
def has_tickets(context):
    small = context.small
    (question,) = context.made.questions
    permits = [Permit(runner, 'ticket') for runner in question.runners[:4]]
    small.cell.tickets.note(question.step, question.runners, permits, small.now + 2)


@then('nothing is asked until they have expired')
def asked_once(context):
    assert not context.small.plan().questions
    context.small.now += 2
    assert context.small.plan().questions


@when('{count:d} batch jobs are handed in while {free:d} hosts are free')
def jobs_and_hosts(context, count, free):
    small = context.small
    for number in range(count):
        small.add_job(f'j{number}', [step(count=2)], queue='batch', age=number / 10)
    context.made = small.planner.plan(small.now, small.now, free)


@then('the {count:d} jobs whose objectives end first ask')
def first_ask(context, count):
    asking = [question.step.job for question in context.made.questions]
    assert asking == [f'j{number}' for number in range(9, 9 - count, -1)], asking


@then('an urgent job asks all the same')
def urgent_asks(context):
    small = context.small
    small.add_job('now', [step()])
    made = small.planner.plan(small.now, small.now, 0)
    assert [question.step.job for question in made.questions] == ['now']
