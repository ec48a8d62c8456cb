"""Steps on jobs whose queue a new configuration has removed."""

import json
import math

import msgspec
from behave import given, then, when

from dandelionreel.cell.model import (
    SUBMISSION_PREFIX,
    Configuration,
    JobSpec,
    QueueTerms,
    Service,
    Submission,
    make_record,
    make_terms,
)
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.cell.store._projections import ConfigurationProjection
from dandelionreel.platform import JsonRecordCodec
from features.cell_parts import SmallCell, make_queue, step, task
from features.store_parts import journal

JOB = '0123456789abcdef'
ADVICE = {'decision_ms': 10, 'period_ms': 0.1, 'valid_ms': 2000}


def make_route(name, max_attempts=3, **fields):
    return {
        'name': name,
        'host': 'h',
        'path_prefix': f'/{name}/',
        'service': 'desk',
        'priority': 1,
        'max_attempts': max_attempts,
        'slack_factor': 2.0,
        'target_latency_ms': 250,
        **fields,
    }


def read_versions(*routes_by_version):
    """Return the projection of a host that has read these versions."""
    codec = JsonRecordCodec()
    projection = ConfigurationProjection(codec, journal())
    for version, routes in enumerate(routes_by_version, 1):
        services = [{'name': 'desk', 'enforces_capacity': False}]
        document = {'version': version, 'routes': routes, 'services': services, 'limits': {}}
        assert projection.adopt_from_peer(json.dumps(document).encode(), 'peer'), version
    return projection


def make_cell(context, epoch=1):
    small = SmallCell(epoch=epoch)
    small.cell.configuration = read_versions(*context.versions).current
    return small


@given('a job of a queue with 3 attempts, of which a task runs')
def running_job(context):
    context.versions = [[make_route('plain'), make_route('other')]]
    context.small = make_cell(context)
    context.job = context.small.add_job(JOB, [step()], queue='plain')
    assert context.small.plan().starts


@given('a job of a queue that needs advice, whose task waits')
def waiting_job(context):
    advised = make_route('plain', advice=ADVICE)
    context.versions = [[advised, make_route('other')]]
    context.small = make_cell(context)
    context.job = context.small.add_job(JOB, [step()], queue='plain')


@when('a version {change}, and {owner}')
def change_configuration(context, change, owner):
    first = context.versions[0][0]
    others = [make_route('other')]
    later_by_change = {
        'removes the queue': [others],
        'keeps the queue': [[first, *others]],
        'replaces the queue by one of another name': [[{**first, 'name': 'renamed'}, *others]],
        'removes the queue and the next one others': [others, [make_route('third')]],
        'changes the queue to one attempt': [[make_route('plain', 1), *others]],
    }
    later = later_by_change[change]
    if owner == 'the owner stays':
        context.versions.extend(later)
        context.small.cell.configuration = read_versions(*context.versions).current
        return
    queue = context.small.cell.queue_of(context.job)
    submission = msgspec.structs.replace(context.job.submission, terms=make_terms(queue))
    context.versions = later
    successor = make_cell(context, epoch=2)
    if 'without any' in owner:
        successor.cell.configuration = None
    take_job(context, successor, submission)
    if queue.advice is None:
        assert successor.plan().starts


def take_job(context, small, submission):
    """Give a cell the job as read from the store, encoded and decoded."""
    record = make_record(SUBMISSION_PREFIX + JOB, submission)
    cell_state = CellState()
    assert cell_state.apply([record]) == [None]
    small.cell.update_job(cell_state.find_job(JOB), small.now, small.now)
    context.small, context.job = small, small.cell.job_by_id[JOB]


@when('{count:d} run of the task fail one after the other')
@when('{count:d} runs of the task fail one after the other')
def fail_runs(context, count):
    small = context.small
    for _ in range(count):
        start = small.allocations[-1]
        number = small.cell.runner_by_id[start.runner].processed_end + 1
        small.poll(start.runner, ended=[(number, task(JOB), start.run, 'failed')])
        small.now += 1
        small.plan()


@then('by the attempts of its queue it is {state}')
def check_state(context, state):
    assert (context.job.state is JobState.FAILED) is (state == 'failed'), context.job.state


@then('advice is requested and no task is started')
def check_advice(context):
    plan = context.small.plan()
    assert plan.advice_requests and not plan.starts, plan


@given('a job of a removed queue, whose submission has the terms {terms}')
def job_with_terms(context, terms):
    small = SmallCell()
    submission = Submission('removed', 'desk', small.now, JobSpec('payload', (step(),)))
    if terms != 'none':
        decoded = msgspec.json.decode(terms, type=QueueTerms)
        submission = msgspec.structs.replace(submission, terms=decoded)
    take_job(context, small, submission)


@then(
    'it is planned with {attempts:d} attempts, an objective of {objective:g} s and '
    'priority {priority:d}'
)
def check_terms(context, attempts, objective, priority):
    cell = context.small.cell
    queue = cell.queue_of(context.job)
    assert (queue.max_attempts if queue else 1) == attempts
    assert (queue.priority if queue else 0) == priority
    assert math.isclose(cell.objective_of(context.job), objective), cell.objective_of(context.job)
    assert context.small.plan().starts


@given('{count:d} versions that each replace {queues:d} queues by others')
def many_versions(context, count, queues):
    context.queues = queues
    current = None
    for version in range(1, count + 1):
        names = [f'q{version}-{number}' for number in range(queues)]
        services = (Service('desk', False, False),)
        later = Configuration(version, tuple(map(make_queue, names)), services, 9999)
        if current is not None:
            later.keep_removed_queues(current)
        current = later
    context.configuration = current
    context.count = count


@then('the newest one knows its own queues, and the {kept:d} that were removed last')
def check_kept(context, kept):
    found = [
        version
        for version in range(1, context.count + 1)
        if context.configuration.find_job_queue(f'q{version}-0') is not None
    ]
    oldest = context.count - kept // context.queues
    assert found == list(range(oldest, context.count + 1)), found
