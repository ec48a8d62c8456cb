"""Steps on the job and runner state of an owner, without processes."""

from behave import given, then, when

from dandelionreel.cell.decisions import AllocationPhase
from dandelionreel.cell.decisions._preventive_stops import stop_on_draining_runners
from dandelionreel.cell.decisions._runner_state import RunnerState
from dandelionreel.cell.model import JobState
from dandelionreel.cell.model._records import Progress
from features.cell_parts import SmallCell, make_registration, step, task

RUNNER_CPU = 32_000


@given('a successor that cannot reach the runner w3')
def make_successor(context):
    context.small = SmallCell(epoch=2)
    context.small.cell.unseen_runners.add('w3')
    context.small.update_runners()


@given('a cell with the runners {names}')
def make_small_cell(context, names):
    context.small = SmallCell(tuple(names.split(', ')))


@when('a job is submitted')
def submit_default_job(context):
    context.small.add_job('j1', [step()])
    context.plan = context.small.plan()


@when('it reads a job from the store that may run on {runner}')
def take_job(context, runner):
    progress = Progress(1, JobState.RUNNING, runners=(runner,))
    context.small.add_job('j1', [step()], progress=progress)
    context.plan = context.small.plan()


@when('it reads a job from the store that is {state}')
def take_over_job(context, state):
    progress = Progress(1, JobState(state), ended_at=5.0)
    context.small.add_job('j1', [step()], progress=progress)
    context.plan = context.small.plan()


@when('w3 is polled and does not list the task')
def runner_answers(context):
    small = context.small
    small.registration_by_id['w3'] = make_registration('w3', port=7)
    small.update_runners()
    small.poll('w3')
    context.plan = small.plan()


@then('it starts at once')
def starts(context):
    assert len(context.plan.starts) == 1, context.plan


@then('it stays blocked')
@then('nothing starts')
def nothing_starts(context):
    assert not context.plan.starts, context.plan


@given('a running job that fills w1')
def running_job(context):
    context.small.add_job('j1', [step(RUNNER_CPU)])
    context.small.plan()
    assert context.small.used('w1') == RUNNER_CPU


@when('the job is cancelled and another one is submitted')
def cancel_and_submit_other(context):
    context.small.cancel('j1')
    assert context.small.cell.take_stops()
    context.small.add_job('j2', [step()])
    context.plan = context.small.plan()


@when('w1 lists the end of the stopped run')
def list_stopped_end(context):
    run = context.small.runs_on('w1')[0][1]
    context.small.poll('w1', ended=[(1, task('j1'), run, 'stopped')])
    context.plan = context.small.plan()


@then('the other job starts')
def other_starts(context):
    assert [start.task.job for start in context.plan.starts] == ['j2']


@given('a job whose unanswered start is stopped')
def unanswered_start(context):
    context.small.add_job('j1', [step()])
    context.start = context.small.plan(start=False).starts[0]
    context.small.cell.stop_run(context.start)


@when('the runner is polled before it has acknowledged the stop')
def poll_before_stop(context):
    context.small.now += 1
    context.small.poll(context.start.runner)
    context.plan = context.small.plan()


@then('the task does not start elsewhere')
def not_elsewhere(context):
    assert not context.plan.starts
    assert context.small.runs_on(context.start.runner)


@when('the runner acknowledges the stop and is polled again')
def stop_acknowledged(context):
    small = context.small
    small.cell.handle_stop_reply(context.start, small.now)
    small.now += 1
    small.poll(context.start.runner)
    context.plan = small.plan()


@then('the task starts with a higher run number')
def higher_run(context):
    assert context.plan.starts[0].run > context.start.run


@when('a poll that was sent {order} the start was answered does not list it')
def poll_without_run(context, order):
    small = context.small
    small.now += 1
    polled_at = small.now - 2 if order == 'before' else small.now
    small.poll('w1', polled_at=polled_at)


@then('the run {fate}')
def check_run(context, fate):
    assert bool(context.small.runs_on('w1')) is (fate == 'is still held')


@when('its run fails, and the same end is listed to a successor that has read the progress')
def fail_twice(context):
    small = context.small
    run = small.runs_on('w1')[0][1]
    end = (1, task('j1'), run, 'failed')
    small.poll('w1', ended=[end])
    progress = small.cell.job_by_id['j1'].progress(1, small.now)
    context.small = SmallCell(('w1',), epoch=2, seen=False)
    context.small.add_job('j1', [step(RUNNER_CPU)], progress=progress)
    context.small.poll('w1', ended=[end])


@when('a job fails on two runs')
def fail_two_runs(context):
    small = context.small
    small.add_job('j1', [step()])
    for number in (1, 2):
        start = small.plan().starts[0]
        small.poll(start.runner, ended=[(number, start.task, start.run, 'failed')])


@then('the job is failed')
def job_failed(context):
    assert context.small.cell.job_by_id['j1'].state is JobState.FAILED


@then('the job is not failed')
def job_not_failed(context):
    job = context.small.cell.job_by_id['j1']
    assert job.state is JobState.RUNNING, job.state
    assert job.steps(0)[0].tasks[0].failures == 1


@given('a job that runs for the second time on another runner')
def make_second_run(context):
    small = context.small
    small.add_job('j1', [step()])
    context.first = small.plan().starts[0]
    small.cell.handle_lapsed_runner(context.first.runner)
    small.cell.runner_by_id[context.first.runner].suspect = True
    context.second = small.plan().starts[0]
    assert context.second.runner != context.first.runner


@when('the first runner lists the end of the first run as done')
def list_first_run_done(context):
    first = context.first
    context.small.poll(first.runner, ended=[(1, first.task, first.run, 'done')])


@then('the second run is stopped and the job is complete')
def second_stopped(context):
    assert context.second.phase is AllocationPhase.STOPPING
    assert context.small.cell.job_by_id['j1'].state is JobState.COMPLETED


@given('a job of 2 tasks, one on each runner at most, whose first task runs again on w2')
def limited_job(context):
    small = context.small
    small.add_job('j1', [step(count=2, max_per_runner=1)])
    small.plan()
    first = next(start for start in small.allocations if start.task.index == 0)
    other = next(start for start in small.allocations if start.task.index == 1)
    context.first_runner, context.second_runner = first.runner, other.runner
    # The other task's start is withdrawn, and the first task loses its run: it starts again on w2.
    small.cell.release_start(other)
    small.cell.handle_lapsed_runner(first.runner)
    small.cell.runner_by_id[first.runner].suspect = True
    context.first = first
    again = small.plan().starts
    assert [start.runner for start in again] == [other.runner], again
    context.second_start = again[0]


@when('w1 lists the end of the first run as done, and the other task is free to start')
def first_run_done(context):
    small = context.small
    first = context.first
    if context.second_start.task == first.task:
        small.poll(first.runner, ended=[(1, first.task, first.run, 'done')])
    small.cell.runner_by_id[first.runner].suspect = True
    context.plan = small.plan()


@then('it does not start on w2 before the stopped run has ended')
def waits_for_stop(context):
    small = context.small
    assert context.second_start.task == context.first.task, context.second_start
    assert not context.plan.starts, context.plan.starts
    stopped = small.cell.take_stops()
    assert stopped == [context.second_start]
    ended = [(1, context.second_start.task, context.second_start.run, 'stopped')]
    small.poll(context.second_runner, ended=ended)
    plan = small.plan()
    assert [start.task.index for start in plan.starts] == [1], plan.starts


@when('w1 drains and a job is submitted')
def drain_and_submit(context):
    context.small.drain('w1')
    submit_default_job(context)


@given('a running task of {seconds:g} s on w1')
def running_task(context, seconds):
    context.small.add_job('j1', [step(seconds=seconds)])
    context.start = context.small.plan().starts[0]


@when('w1 drains')
def drains(context):
    context.small.drain('w1')


@when('1.5 s later the task still runs')
def still_runs(context):
    context.small.now += 1.5
    stop_on_draining_runners(context.small.cell, context.small.now)


@then('the task is {fate:w}')
def check_task(context, fate):
    stopped = context.small.cell.take_stops()
    assert stopped == ([] if fate == 'kept' else [context.start])


@when('a job is planned and cancelled before its start is sent')
def planned_and_cancelled(context):
    context.small.add_job('j1', [step()])
    context.start = context.small.plan(start=False).starts[0]
    context.small.cancel('j1')


@then('the start may not be sent')
def may_not_send(context):
    assert not context.small.cell.may_send_start(context.start)


@given('a lease of 5 s granted to a runner that stops answering')
def grant_lease(context):
    context.state = RunnerState(make_registration('w1'))
    context.state.record_clock(500, 1000)
    context.state.extend_lease(1000, 5)


@when('{seconds:f} s have passed')
def time_passes(context, seconds):
    context.have_leases_expired = context.state.have_leases_expired(1000 + seconds, 0.02)


@when('it is polled repeatedly without an answer')
def poll_unanswered(context):
    state = context.state
    context.have_leases_expired = False
    for tenth in range(60):
        now = 1000 + tenth / 10
        state.renew_lease(now, 5)
        state.missed_last_poll = True
        context.have_leases_expired = context.have_leases_expired or state.have_leases_expired(
            now, 0.02
        )


@then('the leases have expired: {answer}')
def have_leases_expired(context, answer):
    assert context.have_leases_expired is (answer == 'yes')


@when('a job of two consecutive steps is submitted')
def two_steps(context):
    context.small.add_job('j1', [step(), step(depends_on=(0,))])
    context.plan = context.small.plan()


@then('only the first step starts')
def first_step(context):
    assert [start.task.step for start in context.plan.starts] == [0]


@when('the first step is done')
def first_step_done(context):
    start = context.plan.starts[0]
    context.small.poll(start.runner, ended=[(1, start.task, start.run, 'done')])
    context.plan = context.small.plan()


@then('the second step starts')
def second_step(context):
    assert [start.task.step for start in context.plan.starts] == [1]


@when('a job whose step has {rule} is submitted')
def job_with_rule(context, rule):
    small = context.small
    small.registration_by_id['w2'] = make_registration('w2', labels=('b', 'r-2'), port=2)
    small.update_runners()
    step_by_rule = {
        '4 tasks': step(count=4),
        '4 tasks, at most 2 each': step(count=4, max_per_runner=2),
        '2 tasks that need b': step(count=2, required_label='b'),
        '2 tasks with data at r-2': step(count=2, data_rack='r-2'),
    }
    small.add_job('j1', [step_by_rule[rule]])
    small.plan()


@then('it has {counts} tasks on w1 and w2')
def task_counts(context, counts):
    found = (len(context.small.runs_on('w1')), len(context.small.runs_on('w2')))
    assert f'{found[0]}, {found[1]}' == counts, found
