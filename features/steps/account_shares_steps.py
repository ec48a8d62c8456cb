"""Steps on the shares of an account's quota."""

from dataclasses import replace
from types import SimpleNamespace

import curio
from behave import given, then, when

from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.owner._dispatcher import Dispatcher
from dandelionreel.entry_metrics import EntryMetrics
from dandelionreel.http import Request
from dandelionreel.kernel import SystemClock
from features.cell_parts import step
from features.steps.report_steps import RecordingJournal
from features.store_parts import make_dispatcher
from standins import MemoryTopic

WAIT_SECONDS = 21


@given('overload control is {control}')
def set_overload_control(context, control):
    """Let a dispatcher with this dependency plan for the cell."""
    small, clock = context.small, SystemClock()
    host = SimpleNamespace(follower=None, election=None, projection=SimpleNamespace(state=None))
    term = Term(1, 'me/1', WriterFence(1, 1), None, False, False)
    context.log = RecordingJournal()
    dependencies = replace(
        make_dispatcher(host, term, MemoryTopic(), clock)._dependencies,
        journal=context.log,
        overload_control=control == 'on',
    )
    context.dispatcher = Dispatcher(dependencies, term)
    context.dispatcher.cell.configuration = small.cell.configuration
    small.cell, small.planner = context.dispatcher.cell, context.dispatcher._planner
    small.update_runners()
    small.poll('w1')


@given('a long-running task of blue of {lasting:d} cores and a short one of {older:d} cores run')
def older_runs(context, lasting, older):
    small = context.small
    if lasting:
        small.submit_job('blue', [step(1000 * lasting, long_running=True)])
    context.older = small.submit_job('blue', [step(1000 * older)])
    small.plan()


@when('a gang of blue of 4 tasks of 2 cores has waited for its quota for 21 s')
def gang_has_waited(context):
    small = context.small
    context.gang = small.submit_job('blue', [step(2000, 4, gang=True)], 'gangs')
    for _ in range(WAIT_SECONDS):
        make_plan(context)
        small.now += 1


def make_plan(context):
    """Plan and log as the dispatcher does."""
    context.dispatcher._log_starved_gangs(context.small.plan())


@when('blue submits {count:d} urgent tasks of 1 core')
def submit_urgent(context, count):
    small = context.small
    context.job = small.submit_job('blue', [step(1000, count)])
    for _ in range(3):
        make_plan(context)
        small.now += 0.1


@then('the gang starts as soon as the short task ends, with at most {cores:d} cores in use')
def gang_starts(context, cores):
    small = context.small
    (held,) = small.cell.allocations_of_job(context.older.id)
    # The runner goes on with everything else.
    runs = [run for run in small.runs_on('w1') if run != (held.task, held.run)]
    small.poll('w1', running=runs, ended=((1, held.task, held.run, 'done'),))
    small.plan()
    assert small.placed(context.gang) == 4, small.placed(context.gang)
    assert small.in_use('blue') <= 1000 * cores, small.in_use('blue')


@then('one log line names the gang, with {used:d} of {quota:d} cores in use')
def gang_logged(context, used, quota):
    ((_, line),) = context.log.entries
    assert line['job'] == context.gang.id, line
    assert (line['cpu'], line['quota_cpu']) == (1000 * used, 1000 * quota), line


@then('the metrics count {count:d} starts of blue beside a gang')
def starts_counted(context, count):
    cell = context.small.cell
    metrics = EntryMetrics()
    metrics.update_gauges(cell, cell.configuration, 0, 0, 0)
    body = curio.run(metrics.handle, Request('GET', '/metrics', (), b'')).body.decode()
    assert f'starts_beside_gangs{{account="blue"}} {count}.0' in body, body


@when('blue submits wide and narrow jobs of one queue in turn, and the cell is full')
def submit_wide_and_narrow(context):
    small = context.small
    context.jobs = []
    for _ in range(4):
        for width in (8, 1):
            context.jobs.append(small.submit_job('blue', [step(1000, width)]).id)
            small.now += 0.01
    context.started = []
    for _ in range(12):
        context.started.extend(start.task.job for start in small.plan().starts)
        small.now += 0.5
        small.end_older_runs(0.5)


@then('they start in the order of their submission')
def started_in_order(context):
    assert list(dict.fromkeys(context.started)) == context.jobs, context.started
