"""Steps on gangs: all-or-none starts, backfilling and preemption."""

from behave import given, then, when

from dandelionreel.cell.decisions._preventive_stops import stop_incomplete_gangs
from dandelionreel.cell.model import (
    EndedRun,
    Permit,
    RunnerView,
    RunningTask,
    RunOutcome,
    StartReply,
)
from features.cell_parts import step

RUNNER_CPU = 32_000
#: Seconds; longer than any scenario takes on any machine.
LONG_SECONDS = 30


@given('a gang of {count:d} tasks of {cpu:d} millicores with one start unanswered')
def gang_unanswered(context, count, cpu):
    small = context.small
    small.add_job('j1', [step(cpu, count, gang=True)], queue='gangs')
    starts = small.plan(start=False).starts
    assert len(starts) == count
    assert len({start.run for start in starts}) == 1
    context.unanswered = starts[0]
    for start in starts[1:]:
        small.cell.handle_start_reply(start, StartReply.STARTED, small.now)


@when('the time in which the gang must have started has passed')
def gang_times_out(context):
    context.small.now += 2
    stop_incomplete_gangs(context.small.cell, context.small.now, context.small.now)


@when('that start is withdrawn as it may or may not have arrived')
def gang_start_withdrawn(context):
    small = context.small
    small.cell.handle_start_reply(context.unanswered, StartReply.NO_ROOM, small.now, in_doubt=True)


@then('its other members are stopped')
def gang_stopped(context):
    stopped = context.small.cell.take_stops()
    assert len(stopped) == 4, stopped


@when('a gang of {count:d} tasks of {cpu:d} millicores is submitted')
def submit_gang(context, count, cpu):
    context.small.add_job('j1', [step(cpu, count, gang=True)], queue='gangs')
    context.plan = context.small.plan()


@given('urgent tasks that fill w1 for 2 s and half of w2 for 2 s')
def urgent_tasks(context):
    small = context.small
    for job, cpu, runner in (('u1', 16_000, 'w1'), ('u2', 16_000, 'w1'), ('u3', 16_000, 'w2')):
        small.add_job(job, [step(cpu, seconds=2.0)])
        assert small.plan().starts[0].runner == runner


@when('a gang of 2 tasks of 20000 millicores and a batch task of {seconds:g} s are submitted')
def gang_and_batch(context, seconds):
    small = context.small
    small.add_job('g1', [step(20_000, 2, gang=True, seconds=2.0)], queue='gangs')
    small.add_job('b1', [step(4000, seconds=seconds)], queue='batch')
    context.plan = small.plan()


@then('the batch task {outcome}')
def batch_outcome(context, outcome):
    started = [start.task.job for start in context.plan.starts]
    assert started == (['b1'] if outcome == 'starts' else []), started


@given('{kind} that fill w1 and w2 for {seconds:g} s')
def filling_tasks(context, kind, seconds):
    queue = kind.split()[0]
    checkpointing = kind.endswith('with checkpoints')
    tasks = step(8000, 8, seconds=seconds, checkpointing=checkpointing)
    context.small.add_job('f1', [tasks], queue=queue, age=getattr(context, 'age', 0.0))
    context.filling = context.small.plan().starts
    assert len(context.filling) == 8


@given('a job submitted {age:g} s ago, whose {kind} fill w1 and w2 for {seconds:g} s')
def aged_tasks(context, kind, age, seconds):
    context.age = age
    filling_tasks(context, kind, seconds)


@given('plain tasks with checkpoints that fill both')
def filling_both(context):
    filling_tasks(context, 'plain tasks with checkpoints', 4.0)


@when('a gang of 2 tasks of 20000 millicores is submitted after them')
def gang_submitted(context):
    # The cell whose queue needs advice has no queue named gangs.
    queue = 'urgent' if 'plain' in context.small.cell.configuration.queue_by_name else 'gangs'
    context.small.add_job('g1', [step(20_000, 2, gang=True, seconds=2.0)], queue=queue)
    context.plan = context.small.plan()


@then('{count:d} of them are stopped')
def are_stopped(context, count):
    stopped = context.small.cell.take_stops()
    assert len(stopped) == count, stopped
    assert stopped == context.plan.preempted


@when('the stopped tasks are listed with their checkpoints')
def stopped_listed(context):
    small = context.small
    context.stopped = small.cell.take_stops()
    for number, victim in enumerate(context.stopped, 1):
        ended = EndedRun(number, victim.task, victim.run, RunOutcome.STOPPED, f'saved {number}')
        kept = [run for run in small.runs_on(victim.runner) if run != (victim.task, victim.run)]
        listed = tuple(RunningTask(name, run, '', 0, 0.0) for name, run in kept)
        view = RunnerView(small.now, listed, (ended,))
        small.cell.handle_view(small.cell.runner_by_id[victim.runner], view, small.now, small.now)
    context.plan = small.plan()


@then('each stopped task waits with its checkpoint')
def waits_with_checkpoint(context):
    job = context.small.cell.job_by_id['f1']
    for victim in context.stopped:
        task_with_step = job.find_task(victim.task)
        assert task_with_step[1].checkpoint.startswith('saved'), task_with_step


@when('it is allowed on both runners, with tickets that have expired')
def allowed_with_expired_tickets(context):
    small = context.small
    request = context.plan.advice_requests[0]
    permits = [Permit(runner, 'ticket') for runner in request.runners]
    small.cell.tickets.record_advice(request.step, request.runners, permits, small.now - 1)
    context.plan = small.plan()


@then('nothing is stopped, and new tickets are requested')
def nothing_stopped(context):
    assert not context.small.cell.take_stops()
    assert len(context.plan.advice_requests) == 1


@when('the tickets arrive')
def tickets_there(context):
    small = context.small
    request = context.plan.advice_requests[0]
    permits = [Permit(runner, 'ticket') for runner in request.runners]
    small.cell.tickets.record_advice(request.step, request.runners, permits, small.now + 2)
    context.plan = small.plan()


@when('the urgent tasks are done')
def urgent_done(context):
    small = context.small
    small.now += 2
    for number, start in enumerate(small.allocations[:3]):
        small.poll(start.runner, ended=[(number + 1, start.task, start.run, 'done')])
    context.plan = small.plan()


@then('the gang starts')
def gang_starts(context):
    assert [start.task.job for start in context.plan.starts][:2] == ['g1', 'g1']


@given('a gang that waits for both of them')
def waiting_gang(context):
    small = context.small
    small.add_job('batch', [step(20_000, count=2, seconds=5)], queue='batch')
    assert len(small.plan().starts) == 2
    small.add_job('gang', [step(RUNNER_CPU, count=2, seconds=4, gang=True)], queue='gangs')
    assert not small.plan().starts


@when('an urgent job of {seconds:g} s is submitted {later:g} s later')
def urgent_later(context, seconds, later):
    context.small.now += later
    context.small.add_job('urgent', [step(seconds=seconds)])
    context.plan = context.small.plan()
