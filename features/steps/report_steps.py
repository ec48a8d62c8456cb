"""Steps on what the owner tells of its load, and CI of known failures."""

import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from dandelionreel.cell.decisions import StartWindow
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import Progress
from dandelionreel.cell.owner._load_report import LoadReport
from features import run
from features.cell_parts import SmallCell, step

FULL = 32_000


class Lines:
    """Keeps what a journal would write."""

    def __init__(self):
        self.told = []

    def tell(self, part, sentence, **fields):
        """Keep a line."""
        self.told.append((sentence, fields))


def watch(context):
    context.lines = Lines()
    context.load = LoadReport(
        context.small.cell, SimpleNamespace(waiting=0), StartWindow(), context.lines
    )


@given('an owner of 2 runners, both full, and a job that waits')
def full_owner(context):
    context.small = SmallCell()
    context.small.add_job('filling', [step(FULL, count=2)], queue='batch')
    assert len(context.small.plan().starts) == 2
    context.small.add_job('j1', [step()])
    watch(context)


@given('an owner of 2 runners and a job that may run on one it has not seen')
def blocked_owner(context):
    context.small = SmallCell()
    context.small.cell.unseen.add('w9')
    progress = Progress(1, JobState.RUNNING, runners=('w9',))
    context.small.add_job('j1', [step()], progress=progress)
    watch(context)


@given('an owner of 2 runners without jobs')
def idle_owner(context):
    context.small = SmallCell()
    watch(context)


@when('it has planned for a second')
def planned(context):
    small = context.small
    for _ in range(10):
        context.load.note_plan(small.plan(), 0.01)
        context.load.look(small.now, small.now, 1)
        small.now += 0.1


@then('one line tells that 1 task of urgent waits with {free:d} cores free of {cores:d}')
def tells_full(context, free, cores):
    ((_, fields),) = context.lines.told
    assert fields['waiting'] == {'urgent': 1}, fields
    assert (fields['cores_free'], fields['cores']) == (free, cores), fields


@then('one line tells that 1 task is blocked')
def tells_blocked(context):
    ((_, fields),) = context.lines.told
    assert fields['waiting'] == {'urgent': 1, 'blocked by unseen runners': 1}, fields
    assert fields['unseen'] == 1, fields


@then('it tells nothing of tasks that wait')
def tells_nothing(context):
    assert not context.lines.told, context.lines.told


@given('a list of known failures of {count:d} lines')
@given('a list of known failures of {count:d} line')
def known_failures(context, count):
    context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.known = Path(context.folder) / 'KNOWN-RED.txt'
    lines = [f'features/a.feature: Scenario {number} | command | seen' for number in range(count)]
    context.known.write_text('\n'.join(lines) + '\n')


@then('CI does not take the list')
def list_refused(context):
    try:
        run.read_known(context.known)
    except ValueError as error:
        assert '4 lines' in f'{error}'
        return
    raise AssertionError('four lines were taken')


@then('a row of its outline is known, and another scenario is not')
def row_known(context):
    known = run.read_known(context.known)
    place = SimpleNamespace(filename='features/a.feature')
    row = SimpleNamespace(location=place, name='Scenario 0 -- @1.2 ')
    other = SimpleNamespace(location=place, name='Scenario 01')
    assert run.is_known(row, known)
    assert not run.is_known(other, known)


def make_owner(context, *steps):
    context.small = SmallCell()
    context.small.add_job('j1', steps)
    watch(context)


@given('an owner of 2 runners with a job that nothing is placed for')
def stalled_owner(context):
    make_owner(context, step(seconds=0.5))


@given('an owner of 2 runners with a job whose run of {seconds:g} s is held')
def holding_owner(context, seconds):
    make_owner(context, step(seconds=seconds))
    context.small.plan()


@given('an owner of 2 runners with a job whose lasting tasks are all placed')
def lasting_owner(context):
    make_owner(context, step(seconds=0.5, long_running=True))
    context.small.plan()


@given('an owner of 2 runners with a job whose step depends on another that is held')
def depending_owner(context):
    make_owner(context, step(seconds=20), step(seconds=0.5, depends_on=(0,)))
    context.small.plan()


@when('nothing changes for {seconds:d} seconds')
def nothing_changes(context, seconds):
    now = context.small.now
    for second in range(seconds + 1):
        context.load.look(now + second, now + second, 1)
    context.small.now = now + seconds


def stalls(context):
    return [fields for sentence, fields in context.lines.told if 'makes no progress' in sentence]


@then('one line names the job, its waiting step and its tickets')
def stall_named(context):
    (fields,) = stalls(context)
    assert fields['job'] == 'j1', fields
    assert '1 waiting, 0 placed, 0 done; 0 of 0 runners allowed' in fields['steps'][0], fields
    assert not fields['runs'], fields


@then('it is not logged again within {seconds:d} seconds, and once more after {later:d}')
def stall_repeated(context, seconds, later):
    nothing_changes(context, seconds - 1)
    assert len(stalls(context)) == 1, stalls(context)
    nothing_changes(context, later - seconds + 1)
    assert len(stalls(context)) == 2, stalls(context)


@then('one line names the job, its run and its runner')
def held_run_named(context):
    (fields,) = stalls(context)
    assert fields['job'] == 'j1', fields
    (run,) = fields['runs']
    assert 'run 1001 on w' in run and 'running for' in run, run


@then('no line names a stalled job')
def no_stall(context):
    assert not stalls(context), stalls(context)
