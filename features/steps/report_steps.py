"""Steps for the load reports of the owner, and for known failures in CI."""

import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from dandelionreel.cell.model import StepName
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import Progress
from dandelionreel.cell.owner._load_report import LoadReport
from features import run
from features.cell_parts import SmallCell, step

RUNNER_MILLICORES = 32_000


class RecordingJournal:
    """Records log lines instead of writing them."""

    def __init__(self):
        self.entries = []

    def log(self, part, sentence, **fields):
        """Record a line."""
        self.entries.append((sentence, fields))

    log_sampled = log


def start_report(context):
    context.lines = RecordingJournal()
    context.load = LoadReport(context.small.cell, SimpleNamespace(waiting_count=0), context.lines)


@given('an owner of 2 runners, both full, and a job that waits')
def full_owner(context):
    context.small = SmallCell()
    context.small.add_job('filling', [step(RUNNER_MILLICORES, count=2)], queue='batch')
    assert len(context.small.plan().starts) == 2
    context.small.add_job('j1', [step()])
    start_report(context)


@given('an owner of 2 runners and a job that may be running on one it has not polled')
def blocked_owner(context):
    context.small = SmallCell()
    context.small.cell.unseen_runners.add('w9')
    progress = Progress(1, JobState.RUNNING, runners=('w9',))
    context.small.add_job('j1', [step()], progress=progress)
    start_report(context)


@given('an owner of 2 runners without jobs')
def idle_owner(context):
    context.small = SmallCell()
    start_report(context)


@when('it has planned for a second')
def plan_for_a_second(context):
    small = context.small
    for _ in range(10):
        context.load.add_plan(small.plan(), 0.01)
        context.load.log_if_due(small.now, small.now, 1)
        small.now += 0.1


@then('one log line reports 1 waiting task of urgent, and {free:d} cores free of {cores:d}')
def reports_full(context, free, cores):
    ((_, fields),) = context.lines.entries
    assert fields['waiting'] == {'urgent': 1}, fields
    assert (fields['cores_free'], fields['cores']) == (free, cores), fields


@then('one log line reports that 1 task is blocked')
def reports_blocked(context):
    ((_, fields),) = context.lines.entries
    assert fields['waiting'] == {'urgent': 1, 'blocked by unseen runners': 1}, fields
    assert fields['unseen'] == 1, fields


@then('it logs nothing about waiting tasks')
def reports_nothing(context):
    assert not context.lines.entries, context.lines.entries


@given('a list of known failures of {count:d} lines')
@given('a list of known failures of {count:d} line')
def known_failures(context, count):
    context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.known = Path(context.folder) / 'KNOWN-RED.txt'
    lines = [f'features/a.feature: Scenario {number} | command | seen' for number in range(count)]
    context.known.write_text('\n'.join(lines) + '\n')


@given('a list of 3 known failures and {line}')
def known_failures_and_line(context, line):
    known_failures(context, 3)
    with context.known.open('a') as known:
        known.write(f'{line}\n')


@given('a list of known failures whose line names two scenarios')
def shared_line(context):
    known_failures(context, 0)
    context.known.write_text('features/a.feature: One; features/b.feature: Two | command | seen\n')


@then('CI accepts the list')
def list_accepted(context):
    assert len(run.read_known_red(context.known)) == 4


@then('both count as known')
def both_known(context):
    known = {'features/a.feature: One', 'features/b.feature: Two'}
    assert run.read_known_red(context.known) == known


@then('CI rejects the list')
def list_refused(context):
    try:
        run.read_known_red(context.known)
    except ValueError as error:
        assert '4 lines' in f'{error}'
        return
    raise AssertionError('the list of four lines was accepted')


@then('a row of its outline counts as known, and another scenario does not')
def row_known(context):
    known = run.read_known_red(context.known)
    place = SimpleNamespace(filename='features/a.feature')
    row = SimpleNamespace(location=place, name='Scenario 0 -- @1.2 ')
    other = SimpleNamespace(location=place, name='Scenario 01')
    assert run.is_known_red(row, known)
    assert not run.is_known_red(other, known)


def make_owner(context, *steps):
    context.small = SmallCell()
    context.small.add_job('j1', steps)
    start_report(context)


@given('an owner of 2 runners with a job of which no task is placed')
def stalled_owner(context):
    make_owner(context, step(seconds=0.5))


@given('an owner of 2 runners with a job whose run of {seconds:g} s does not end')
def unended_run_owner(context, seconds):
    make_owner(context, step(seconds=seconds))
    context.small.plan()


@given('an owner of 2 runners with a job whose long-running tasks are all placed')
def long_running_owner(context):
    make_owner(context, step(seconds=0.5, long_running=True))
    context.small.plan()


@given('an owner of 2 runners with a job whose step depends on another that does not end')
def depending_owner(context):
    make_owner(context, step(seconds=20), step(seconds=0.5, depends_on=(0,)))
    context.small.plan()


@given('an owner of 2 runners with {count:d} jobs of which no task is placed')
def many_stalled_jobs(context, count):
    make_owner(context, step(seconds=0.5))
    for number in range(2, count + 1):
        context.small.add_job(f'j{number}', [step(seconds=0.5)])


@given('an owner of 2 runners with a stalled {job}')
def stalled_job_in_wait(context, job):
    gang = job.startswith('gang')
    make_owner(context, step(seconds=0.5, gang=gang, count=2 if gang else 1))
    small = context.small
    added = small.cell.job_by_id['j1']
    cell = small.cell
    if 'advice' in job or 'tickets' in job:
        cell.forget_job('j1', small.now)
        small.add_job('j1', [step(seconds=0.5)], queue='advised')
        small.plan()
    if 'tickets' in job:
        cell.tickets.record_advice(task_step('j1'), ('w1', 'w2'), (), small.now)
    if 'unseen' in job or 'any runner' in job:
        cell.unseen_runners.add('w9')
        added.runners.add('w9' if 'unseen' in job else '*')
    if 'not stored' in job:
        added.stored = False
    if 'invalid' in job:
        added.steps(0)[0].not_before = small.now + 10
    if gang:
        first, second = small.plan().starts
        cell.stop_run(first)
        small.poll(second.runner, ended=[(1, second.task, second.run, 'stopped')])
        small.poll(first.runner, running=[(first.task, first.run)])
    for state in cell.runner_by_id.values():
        state.suspect = 'usable' in job
    if 'nowhere' in job:
        small.add_job('filling', [step(RUNNER_MILLICORES, count=2)], queue='batch')
        cell.unfinished_job_by_id.pop('j1')
        small.plan()
        cell.unfinished_job_by_id['j1'] = added


def task_step(job):
    return StepName(job, 0, 0)


@when('nothing changes for {seconds:d} seconds')
def nothing_changes(context, seconds):
    now = context.small.now
    for second in range(seconds + 1):
        context.load.log_if_due(now + second, now + second, 1)
    context.small.now = now + seconds


def stall_lines(context):
    return [fields for sentence, fields in context.lines.entries if 'makes no progress' in sentence]


@then('one log line names the job, its waiting step and its tickets')
def stall_named(context):
    (fields,) = stall_lines(context)
    assert fields['job'] == 'j1', fields
    assert '1 waiting, 0 placed, 0 done; 0 of 0 runners allowed' in fields['steps'][0], fields
    assert not fields['runs'], fields


@then('the line of the stalled job says that its step waits for {wait}')
def wait_named(context, wait):
    (fields,) = [line for line in stall_lines(context) if line['job'] == 'j1']
    (described,) = fields['steps']
    assert f'; waits for {wait}' in described, described


@then('the log names {count:d} stalled jobs')
def stalls_named(context, count):
    jobs = {fields['job'] for fields in stall_lines(context)}
    assert len(jobs) == count, jobs


@then('it is not logged again within {seconds:d} seconds, and once more after {later:d}')
def stall_repeated(context, seconds, later):
    nothing_changes(context, seconds - 1)
    assert len(stall_lines(context)) == 1, stall_lines(context)
    nothing_changes(context, later - seconds + 1)
    assert len(stall_lines(context)) == 2, stall_lines(context)


@then('one log line names the job, its run and its runner')
def overdue_run_named(context):
    (fields,) = stall_lines(context)
    assert fields['job'] == 'j1', fields
    (run,) = fields['runs']
    assert 'run 1001 on w' in run and 'running for' in run, run


@then('no log line names a stalled job')
def no_stall(context):
    assert not stall_lines(context), stall_lines(context)
