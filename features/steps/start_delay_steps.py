"""Steps on gangs that are ready and do not start."""

from behave import given, then, when

from dandelionreel.cell.model import Permit
from dandelionreel.cell.owner._load_report import LoadReport
from dandelionreel.records._event_kinds import EventKind, classify_event
from features.cell_parts import CAPACITY, SmallCell, step
from features.steps.gang_start_steps import FakeSpeeds

RUNNER_CPU = CAPACITY.cpu
SLOT = 20_000
LONG_SECONDS = 30.0


class Sentences:
    """A journal that keeps its lines as ``(part, sentence, fields)``."""

    def __init__(self):
        self.lines = []

    def log(self, part, sentence, **fields):
        self.lines.append((part, sentence, fields))

    log_sampled = log


def add_gang(small, count=2, queue='gangs', seconds=4.0, cpu=SLOT, **fields):
    return small.add_job('g1', [step(cpu, count, seconds, gang=True)], queue, **fields)


def occupy(small, runners, seconds=LONG_SECONDS):
    """Occupy runners as a whole, in the order in which they have been given."""
    small.add_job('filling', [step(RUNNER_CPU, runners, seconds)])
    assert len(small.plan().starts) == runners


def answer_first_request(small, allowed, lifetime):
    """Answer the first request of the gang with permits for the first runners."""
    request = small.plan().advice_requests[0]
    permits = [Permit(runner, 't') for runner in request.runners[:allowed]]
    expires_at = small.now + lifetime
    small.cell.tickets.record_advice(request.step, request.runners, permits, expires_at)
    return request


def lack_capacity(small):
    occupy(small, 2)
    add_gang(small)


def lack_answer(small):
    add_gang(small, queue='advised')


def lack_allowed_set(small):
    add_gang(small, queue='advised')
    answer_first_request(small, 0, 2.0)


def lack_ticket(small):
    add_gang(small, queue='advised')
    request = answer_first_request(small, 12, -1.0)
    small.cell.tickets.record_failed_request(request.step, small.now + LONG_SECONDS)


def lack_record(small):
    add_gang(small).stored = False


def lack_former_end(small):
    gang = add_gang(small).steps(0)[0]
    gang.place_task(gang.tasks[0], 'w1', 1)


def lack_reservation(small):
    # In a cell with more idle capacity, an overdue gang starts there all the same.
    occupy(small, 2)
    small.add_job('g0', [step(SLOT, 3, 4.0, gang=True)], 'urgent')
    add_gang(small, 1, seconds=LONG_SECONDS)


def lack_fast_runner(small):
    small.cell.run_times = FakeSpeeds({'w0': 1.2, 'w1': 0.55})
    occupy(small, 1, 1.5)
    add_gang(small, 1, seconds=10.0)


def lack_runner(small):
    add_gang(small)
    for runner in small.cell.runner_by_id.values():
        runner.suspect = True


#: What makes a gang wait, with the number of runners of the cell.
WAITS = {
    'capacity': (lack_capacity, 2),
    'answer': (lack_answer, 2),
    'allowed set': (lack_allowed_set, 30),
    'ticket': (lack_ticket, 2),
    'record': (lack_record, 2),
    'former end': (lack_former_end, 2),
    'reservation': (lack_reservation, 3),
    'fast runner': (lack_fast_runner, 2),
    'runner': (lack_runner, 2),
}


@given('a gang whose {wait} is missing')
def waiting_gang(context, wait):
    cause, runners = WAITS[wait]
    context.small = SmallCell([f'w{number}' for number in range(runners)])
    cause(context.small)
    assert not context.small.plan().starts


def delays_after(small, seconds):
    """Return the reports of the gang in the plan after some seconds in which nothing happens."""
    small.now += seconds
    return [delay for delay in small.plan().gang_delays if delay.step.job == 'g1']


@when('it has been ready for 1 s')
def is_overdue(context):
    assert not delays_after(context.small, 0.95)
    context.delays = delays_after(context.small, 0.06)


@then('the log says that it waits for {reason}')
def log_says(context, reason):
    journal = Sentences()
    plan = context.small.plan()
    plan.gang_delays = context.delays
    LoadReport(context.small.cell, None, journal).add_plan(plan, 0.0)
    lines = [line for line in journal.lines if 'is ready' in line[1]]
    assert len(lines) == 1, journal.lines
    part, sentence, fields = lines[0]
    assert sentence == f'a gang of job g1 is ready and waits for {reason}.', sentence
    assert classify_event(f'{part.value}: {sentence}') is EventKind.WAITING
    assert 1 <= fields['seconds'] < 1.1, fields


@then('it says so again 4 s later at the earliest')
def says_so_again(context):
    assert not delays_after(context.small, 3.9)
    assert delays_after(context.small, 0.15)
