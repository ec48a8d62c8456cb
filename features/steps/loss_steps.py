"""Steps for runs that are lost with their runner; no processes are started."""

import json
from dataclasses import replace

import curio
import msgspec
from behave import given, then, when

from dandelionreel.cell.decisions._runner_losses import RunnerLosses, apply_last_registrations
from dandelionreel.cell.decisions._runner_state import QUARANTINE_SECONDS
from dandelionreel.cell.model import RunnerView, RunningTask, StartReply
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import CrashedRun, Progress, ProvenCrash, StoredStart
from dandelionreel.cell.model._services import RunnerError, StartAnswer
from dandelionreel.cell.owner._orders import OrderSender
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.kernel import ManualClock, Verdict
from features.cell_parts import SmallCell, make_registration, step, task
from features.store_parts import make_owner_context

LONG_RUN_SECONDS = 30
EARLIER_RUN = 7


def make_owner(context, runners=('w1',), progress=None, lasting=False):
    """Make an owner that has placed the one task of a job on w1."""
    context.small = SmallCell(runners)
    steps = [step(seconds=60, long_running=lasting)]
    context.job = context.small.add_job('j1', steps, progress=progress)
    (context.start,) = context.small.plan(start=False).starts
    assert context.start.runner == 'w1', context.start


def confirm_start(context):
    small = context.small
    small.cell.handle_start_reply(context.start, StartReply.STARTED, small.now)


def replace_runner(context):
    context.small.cell.handle_ended_runner('w1', proven=True)


def answer_as_new_incarnation(context):
    """Register another incarnation at w1's address and answer its first poll."""
    small = context.small
    port = small.registration_by_id.pop('w1').port
    small.registration_by_id['w1+'] = make_registration('w1+', port=port)
    small.update_runners()
    small.poll('w1+')


@given('an owner with a task that runs on w1')
def running(context):
    make_owner(context)
    confirm_start(context)


@when("another incarnation answers at w1's address")
def replace_runner_once(context):
    replace_runner(context)


@when("another incarnation answers at w1's address, to a poll, a start and a stop")
def report_replacement_three_times(context):
    state = context.small.cell.runner_by_id['w1']
    losses = RunnerLosses(context.small.cell.unfinished_job_by_id, set())
    assert len(losses.count_crashes_on_ended_runner(state)) == 1
    assert not losses.count_crashes_on_ended_runner(state)
    replace_runner(context)
    replace_runner(context)


@when('the leases on w1 expire')
def expire_leases(context):
    context.small.now += 10
    context.small.cell.runner_by_id['w1'].suspect = True
    context.small.cell.handle_lapsed_runner('w1')


@when('the leases on w1 expire, then w1 answers')
def lapse_then_answer(context):
    expire_leases(context)
    context.small.poll('w1')
    answer_as_new_incarnation(context)


@when('the leases on w1 expire, then another incarnation answers')
def lapse_then_next(context):
    expire_leases(context)
    context.small.cell.handle_ended_runner('w1', proven=False)
    answer_as_new_incarnation(context)


@when('the leases on w1 expire, then another incarnation is listed')
def lapse_then_listed(context):
    expire_leases(context)
    port = context.small.registration_by_id['w1'].port
    context.small.registration_by_id['w1+'] = make_registration('w1+', port=port)
    context.small.update_runners()


@when('w1 announces a drain, then another incarnation answers')
def drain_then_replaced(context):
    context.small.drain('w1')
    replace_runner(context)


@when('w1 announces a drain as its entry is removed, then another answers')
def drain_seen_with_removal(context):
    small = context.small
    last = replace(small.registration_by_id.pop('w1'), draining=True)
    small.update_runners()
    apply_last_registrations(small.cell.runner_by_id.values(), {'w1': last}.get, small.now)
    replace_runner(context)


@then('the task waits with {count:d} crashes')
def task_waits(context, count):
    found = context.job.find_task(task('j1'))
    assert context.job.state is not JobState.FAILED
    assert not found[1].runner, found
    assert context.job.crashes.count(task('j1')) == count, context.job.crashes.crashed


@then('the task waits with {count:d} crashes, {during_start:d} of them during its start')
def task_waits_after_start_crashes(context, count, during_start):
    task_waits(context, count)
    assert sum(run.during_start for run in context.job.crashes.crashed) == during_start


@given('an owner with a task whose start on w1 {became}')
def set_start_outcome(context, became):
    make_owner(context)
    start = context.start
    start.start_unanswered = became in {'broke its connection', 'timed out'}
    start.connection_broken = became == 'broke its connection'
    if became.startswith('was answered'):
        confirm_start(context)
    if 'stop' in became:
        context.small.cell.stop_run(start)
    if '30 s' in became:
        context.small.now += LONG_RUN_SECONDS
        context.small.poll('w1', running=[(start.task, start.run)])


@given('an owner with a task that ends during whose runs {before}')
def crashed_before_task_that_ends(context, before):
    crashed_before(context, before)


@given('an owner with a task that is long-lived during whose runs {before}')
def crashed_before_lasting_task(context, before):
    crashed_before(context, before, lasting=True)


@given('an owner with a task during whose runs {before}')
def crashed_before(context, before, lasting=False):
    count = int(before[0]) if before[0].isdigit() else 0
    proven = int(before.partition(' of them proven')[0][-1]) if 'of them' in before else 0
    during_start = 'at its start' in before
    runs = range(EARLIER_RUN, EARLIER_RUN + count)
    progress = Progress(
        1,
        JobState.RUNNING,
        crashed=tuple(CrashedRun(0, 0, 0, run, during_start) for run in runs),
        proven=tuple(ProvenCrash(0, 0, 0, run) for run in runs[:proven]),
    )
    make_owner(context, progress=progress, lasting=lasting)
    context.start.start_unanswered = context.start.connection_broken = 'broke w1' in before
    if 'is proven' in before:
        crash_at_start(context)
    elif not context.start.connection_broken:
        confirm_start(context)
    if '30 s' in before:
        context.small.now += LONG_RUN_SECONDS
        context.small.poll('w1', running=[(context.start.task, context.start.run)])


def crash_at_start(context):
    start = context.start
    start.start_unanswered = start.connection_broken = True
    start.crash_seen_at = context.small.now


@given('an owner with a start on w1 that breaks its connection right after an answer')
def broken_after_answer(context):
    make_owner(context, runners=('w1', 'w2'))
    crash_at_start(context)


@when('it is seen that {what}, and then that w1 has ended')
def see_then_replace(context, what):
    small, start = context.small, context.start
    if 'w2 is lost' in what:
        lose_both(context, what)
        return
    small.now += 1
    if 'leases' in what:
        lapse_then_next(context)
        return
    if 'poll' in what:
        small.poll('w1')
    elif 'of its job' in what:
        other = replace(start, task=task('j1', 1), crash_seen_at=None)
        small.cell.runner_by_id['w1'].add_allocation(other)
    elif 'another start was' in what:
        small.add_job('j2', [step()])
        assert [other.runner for other in small.plan(start=False).starts] == ['w1']
    elif 'another start' in what:
        small.add_job('j2', [step()])
        small.plan()
    elif 'confirmed' in what:
        confirm_start(context)
    replace_runner(context)


def lose_both(context, what):
    small = context.small
    if 'with a start' in what:
        other = replace(context.start, task=task('j1', 1), runner='w2', crash_seen_at=None)
        small.cell.runner_by_id['w2'].add_allocation(other)
    lost = ('w1', 'w2') if 'later' in what else ('w2', 'w1')
    for runner in lost:
        small.now += 1
        small.cell.handle_ended_runner(runner, proven=True)


@then('{count:d} crashes of the task are proven')
def check_proofs(context, count):
    crashes = context.job.crashes
    (crashed,) = crashes.crashed
    assert crashed.during_start
    assert [proof.run for proof in crashes.proven] == [crashed.run] * count, crashes.proven


@given('a crash that an owner has stored {how}')
def stored_crash(context, how):
    fields = {'epoch': 1, 'state': 'running', 'crashed': [[0, 0, 0, EARLIER_RUN, True]]}
    if 'earlier builds' not in how:
        runs = [EARLIER_RUN + ('another' in how)] if 'with a' in how else []
        fields['proven'] = [[0, 0, 0, run] for run in runs]
    progress = msgspec.json.decode(json.dumps(fields), type=Progress)
    context.small = SmallCell(('w1',), epoch=2, seen=False)
    context.job = context.small.add_job('j1', [step()], progress=progress)


@then('a successor counts it with {proven:d} proofs')
def counts_stored_proofs(context, proven):
    assert context.job.crashes.count(task('j1')) == 1
    stored = context.job.progress(2, 0.0)
    assert [row.run for row in stored.crashed] == [EARLIER_RUN], stored
    assert [row.run for row in stored.proven] == [EARLIER_RUN] * proven, stored


@when('{count:d} more runners are lost during the runs of a task that is long-lived')
def lose_many_runners(context, count):
    make_owner(context, progress=context.job.progress(1, 0.0), lasting=True)
    first = EARLIER_RUN + 1
    for run in range(first, first + count):
        assert context.job.record_crashed_run(task('j1'), run)


@then('{count:d} rows are stored for the task, {proven:d} of them proven')
def check_stored_rows(context, count, proven):
    stored = context.job.progress(1, 0.0)
    assert (len(stored.crashed), len(stored.proven)) == (count, proven), stored


@given('a job of {tasks:d} tasks, each with {runs:d} lost runs and one task with a proof')
def lose_runs_of_many_tasks(context, tasks, runs):
    small = SmallCell(('w1',))
    context.job = small.add_job('j1', [step(count=tasks)])
    for run in range(runs):
        for index in range(tasks):
            name = task('j1', index)
            context.job.record_crashed_run(name, EARLIER_RUN + run, proven=not index and not run)


@then('the record of its crashes has under {size:d} bytes, and still the proof')
def check_record_size(context, size):
    stored = context.job.progress(1, 0.0)
    assert len(msgspec.json.encode(stored)) < size, len(msgspec.json.encode(stored))
    assert len(stored.proven) == 1, stored.proven


@then('none once the task is done')
def check_no_rows(context):
    context.job.mark_task_done(task('j1'))
    assert not context.job.crashes.crashed, context.job.crashes.crashed


@when("its job is {over}, and another incarnation answers at w1's address")
def end_job_then_replace(context, over):
    if over == 'cancelled':
        context.small.cancel('j1')
    else:
        # An earlier run of the task is done on another runner; the one on w1 is still being stopped.
        context.job.mark_task_done(task('j1'))
    replace_runner(context)


@then('its job is reported as {state}')
def job_state(context, state):
    assert context.job.progress(1, 0.0).state is JobState(state), context.job.state


@given('an owner with 3 runners, of which w1 and w2 have work')
def busy_owner(context):
    context.small = SmallCell(('w1', 'w2', 'w3', 'w4'))
    for number, cpu in enumerate((9000, 8000), 1):
        # Only one runner is listed, so the work is placed there.
        context.listed = dict(context.small.registration_by_id)
        name = f'w{number}'
        context.small.registration_by_id = {name: context.listed[name]}
        context.small.update_runners()
        context.small.add_job(f'j{number}', [step(cpu, seconds=60)])
        assert len(context.small.plan().starts) == 1
        context.small.registration_by_id = context.listed
        context.small.update_runners()


@when('two tasks break the connection of a fourth runner, which then restarts')
def break_connection_twice(context):
    small = context.small
    other_registrations = {name: small.registration_by_id.pop(name) for name in ('w1', 'w2', 'w3')}
    small.update_runners()
    context.jobs = [small.add_job(f's{number}', [step()]) for number in (1, 2)]
    starts = small.plan(start=False).starts
    assert [start.runner for start in starts] == ['w4', 'w4'], starts
    for start in starts:
        start.start_unanswered = start.connection_broken = True
    small.registration_by_id.update(other_registrations)
    small.registration_by_id.pop('w4')
    small.update_runners()
    small.cell.handle_ended_runner('w4', proven=True)
    # One task fits on each of the three runners.
    small.add_job('other', [step(22_000, count=3, seconds=60)])
    context.starts = small.plan(start=False).starts


@then('one of them starts on the empty runner, and nothing else starts there')
def one_starts_alone(context):
    context.runner_by_job = {start.task.job: start.runner for start in context.starts}
    assert 'w3' in {context.runner_by_job['s1'], context.runner_by_job['s2']}
    assert sum(start.runner == 'w3' for start in context.starts) == 1, context.starts


@then('the other one starts on another runner')
def other_starts_elsewhere(context):
    assert context.runner_by_job['s1'] != context.runner_by_job['s2']
    others = [start.runner for start in context.starts if start.task.job == 'other']
    assert others == ['w1'], context.starts
    assert quarantined_on(context) == {'w2', 'w3'}, context.starts


def quarantined_on(context):
    return {context.runner_by_job['s1'], context.runner_by_job['s2']}


@then('half a second later other tasks start beside them')
def others_start_beside(context):
    small = context.small
    for start in context.starts:
        small.cell.handle_start_reply(start, StartReply.STARTED, small.now)
    small.now += QUARANTINE_SECONDS / 2
    assert not small.plan().starts
    small.now += QUARANTINE_SECONDS / 2
    assert {start.runner for start in small.plan().starts} == quarantined_on(context)


@given('a successor of an owner that had stored {stored}')
def successor(context, stored):
    crashed, starts = (CrashedRun(0, 0, 0, EARLIER_RUN),), ()
    if 'first' in stored:
        crashed = ()
    else:
        run = EARLIER_RUN if 'already counted' in stored else EARLIER_RUN + 1
        starts = (StoredStart(0, 0, 0, run, 'w2' if 'w2' in stored else 'w1'),)
    progress = Progress(1, JobState.RUNNING, (), (), 0, ('w1', 'w2'), crashed, starts)
    context.small = SmallCell(('w1', 'w2'), epoch=2, seen=False)
    context.small.cell.unseen_runners.add('w1')
    context.job = context.small.add_job('j1', [step()], progress=progress)


@when("it finds that another incarnation answers at w1's address")
def find_replaced_runner(context):
    replace_runner(context)


@when('the leases on w1 must have expired and its entry {entry}')
def unseen_runner_lost(context, entry):
    if entry == 'is removed':
        context.small.registration_by_id.pop('w1')
        context.small.update_runners()
    context.small.cell.drop_unseen_runners(tuple(context.small.cell.unseen_runners))


@then('it counts {count:d} crashes for the task')
def counts_crashes(context, count):
    assert context.job.crashes.count(task('j1')) == count, context.job.crashes.crashed
    if count > 1:
        assert context.job in context.small.cell.take_dirty_jobs()


@then('it stores the next start before it is sent')
def stores_start(context):
    small = context.small
    small.poll('w2')
    (start,) = small.plan().starts
    assert context.job.record_task_start(start.task, start.run, start.runner)
    stored = context.job.progress(2, 0.0)
    assert StoredStart(0, 0, 0, start.run, start.runner) in stored.starts, stored
    small.poll('w2', ended=[(1, start.task, start.run, 'stopped')])
    assert not context.job.crashes.starts, 'a run that has ended is still stored'


@given('an owner with a task whose runner is stored')
def stored_runner(context):
    make_owner(context)
    context.job.stored_runners.add('w1')


@then('its start is sent without another append')
def check_sent_without_append(context):
    assert not context.job.record_task_start(context.start.task, context.start.run, 'w1')


class CountingRunner:
    """Runner that accepts and counts all starts."""

    def __init__(self):
        self.starts = 0

    async def start_task(self, order, check):
        """Answer that the task has started."""
        self.starts += 1
        return StartAnswer(StartReply.STARTED, None)


class BreakingRunner:
    """Runner that breaks the connection of each poll."""

    async def poll(self, epoch, acknowledged, lease_until, wait):
        """Break the connection."""
        raise RunnerError('broken answer', Verdict.UNKNOWN, connection_broken=True)


class LateRunner:
    """Runner that answers a poll after another exchange has found its incarnation to have ended."""

    def __init__(self, context):
        self.context = context

    async def poll(self, epoch, acknowledged, lease_until, wait):
        """List the run of the ended incarnation."""
        start = self.context.start
        replace_runner(self.context)
        listed = RunningTask(start.task, start.run, '', 0, 0.0)
        return RunnerView(self.context.small.now, (listed,), ())


@when('a poll of w1 is answered after another incarnation was found there')
def late_answer(context):
    owner = build_owner_context(context)
    state = context.small.cell.runner_by_id['w1']
    curio.run(RunnerPoller(owner)._poll_runner_once, state, LateRunner(context))


def build_owner_context(context):
    return make_owner_context(context.small.cell, ManualClock(context.small.now))


@given('an owner with a decided start on w1')
def decided_start(context):
    make_owner(context)
    context.job.stored_runners.add('w1')


@when('w1 becomes silent before the start is sent')
def falls_silent(context):
    owner = build_owner_context(context)
    context.runner = owner.runner_by_id['w1'] = CountingRunner()
    context.small.cell.runner_by_id['w1'].suspect = True

    async def send():
        await OrderSender(owner).send_starts([context.start])
        await curio.sleep(0.05)

    curio.run(send)


class EndedRunner:
    """Runner whose process has ended: its open connections break at the next bytes."""

    async def start_task(self, order, check):
        """Break the connection: of the check, if there is one, else of the start."""
        verdict = Verdict.NOT_RUN if order.verify_peer else Verdict.UNKNOWN
        raise RunnerError('broken answer', verdict, connection_broken=True)


@when('the process had ended before, and so has that of the next runner')
def start_on_ended_processes(context):
    small = context.small
    for runner in ('w1', 'w2'):
        if runner == 'w2':
            small.registration_by_id['w2'] = make_registration('w2', port=2)
            small.update_runners()
            small.poll('w2')
            (context.start,) = small.plan(start=False).starts
        owner = build_owner_context(context)
        owner.runner_by_id[runner] = EndedRunner()
        curio.run(OrderSender(owner)._send_start_and_count, context.start)
        small.cell.handle_ended_runner(runner, proven=True)


@then('no start is sent to w1, and the task waits')
def not_sent(context):
    assert context.runner.starts == 0
    task_waits(context, 0)


@given('an owner that polls w1')
def polling(context):
    context.small = SmallCell(('w1',))


@when('the connection of the poll breaks')
def poll_breaks(context):
    owner = build_owner_context(context)
    state = context.small.cell.runner_by_id['w1']
    curio.run(RunnerPoller(owner)._poll_runner_once, state, BreakingRunner())


@then('nothing is placed on w1 until a poll is answered')
def nothing_placed(context):
    context.small.add_job('j1', [step()])
    assert not context.small.plan().starts
    context.small.poll('w1')
    assert len(context.small.plan().starts) == 1


@given('a task with 2 crashes whose odds are 0.01, stored {how}')
def stored_odds(context, how):
    make_owner(context)
    for run in (EARLIER_RUN, EARLIER_RUN + 1):
        context.job.record_crashed_run(task('j1'), run, odds=0.01, max_odds=1e-5)
    if how == 'after another was lost':
        for run in (EARLIER_RUN, EARLIER_RUN + 1):
            context.job.withdraw_odds(task('j1'), run)
    progress = context.job.progress(1, context.small.now)
    if how == 'as earlier builds do':
        progress = msgspec.structs.replace(progress, weighed=())
    progress = msgspec.json.decode(msgspec.json.encode(progress), type=Progress)
    make_owner(context, progress=msgspec.structs.replace(progress, state=JobState.RUNNING))


@when('a successor counts one more')
def count_one_more(context):
    context.job.record_crashed_run(task('j1'), EARLIER_RUN + 2, odds=0.01, max_odds=1e-5)
