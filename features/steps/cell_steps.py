"""Steps on the owner's knowledge, without processes."""

import io

import curio
from behave import given, then, when

from dandelionreel.cell import (
    AdvicePolicy,
    EndedRun,
    Holding,
    JobState,
    Outcome,
    Permit,
    Question,
    RunnerView,
    RunningTask,
    StartReply,
    StepName,
)
from dandelionreel.cell._advisors import AdvicePool
from dandelionreel.cell._ledger import RunnerState
from dandelionreel.cell._records import Member, Progress
from dandelionreel.kernel import Journal, SystemClock
from features.cell_parts import SmallCell, make_queue, make_registration, step, task

FULL = 32_000
#: Seconds that nothing here takes on any machine.
LONG = 30


def journal():
    return Journal(io.StringIO(), 'test')


@given('a successor that cannot see the runner w3')
def make_successor(context):
    context.small = SmallCell(epoch=2)
    context.small.cell.unseen.add('w3')
    context.small.see_runners()


@given('a cell with the runners {names}')
def make_small_cell(context, names):
    context.small = SmallCell(tuple(names.split(', ')))


@when('a job is handed in')
def hand_in(context):
    context.small.add_job('j1', [step()])
    context.made = context.small.plan()


@when('it takes a job that the store names with {runner}')
def take_job(context, runner):
    progress = Progress(1, JobState.RUNNING, runners=(runner,))
    context.small.add_job('j1', [step()], progress=progress)
    context.made = context.small.plan()


@when('w3 answers and does not hold the task')
def runner_answers(context):
    small = context.small
    small.registration_by_id['w3'] = make_registration('w3', port=7)
    small.see_runners()
    small.look('w3')
    context.made = small.plan()


@then('it starts at once')
def starts(context):
    assert len(context.made.starts) == 1, context.made


@then('it is left alone')
@then('nothing starts')
def nothing(context):
    assert not context.made.starts, context.made


@given('a running job that fills w1')
def running_job(context):
    context.small.add_job('j1', [step(FULL)])
    context.small.plan()
    assert context.small.used('w1') == FULL


@when('the job is cancelled and another one is handed in')
def cancel_and_hand_in(context):
    context.small.cancel('j1')
    assert context.small.cell.take_stops()
    context.small.add_job('j2', [step()])
    context.made = context.small.plan()


@when('w1 lists the end of the stopped run')
def stopped_end(context):
    run = context.small.runs_on('w1')[0][1]
    context.small.look('w1', ended=[(1, task('j1'), run, 'stopped')])
    context.made = context.small.plan()


@then('the other job starts')
def other_starts(context):
    assert [start.task.job for start in context.made.starts] == ['j2']


@given('a job whose start was not answered and is taken back')
def unanswered(context):
    context.small.add_job('j1', [step()])
    context.start = context.small.plan(start=False).starts[0]
    context.small.cell.stop(context.start)


@when('the runner is looked at before it has taken the stop')
def look_early(context):
    context.small.now += 1
    context.small.look(context.start.runner)
    context.made = context.small.plan()


@then('the task waits for nobody else to run it')
def still_counted(context):
    assert not context.made.starts
    assert context.small.runs_on(context.start.runner)


@when('the runner takes the stop and is looked at again')
def stop_taken(context):
    small = context.small
    small.cell.stop_answered(context.start, small.now)
    small.now += 1
    small.look(context.start.runner)
    context.made = small.plan()


@then('the task starts with a higher run number')
def higher_run(context):
    assert context.made.starts[0].run > context.start.run


@when('a look that was sent {order} the start was answered does not list it')
def look_without(context, order):
    small = context.small
    small.now += 1
    asked = small.now - 2 if order == 'before' else small.now
    small.look('w1', asked=asked)


@then('the run {fate}')
def fate_of_run(context, fate):
    assert bool(context.small.runs_on('w1')) is (fate == 'is still held')


@when('its run fails, and a successor that has read the progress is told the same end')
def fail_twice(context):
    small = context.small
    run = small.runs_on('w1')[0][1]
    end = (1, task('j1'), run, 'failed')
    small.look('w1', ended=[end])
    progress = small.cell.job_by_id['j1'].progress(1, small.now)
    context.small = SmallCell(('w1',), epoch=2, seen=False)
    context.small.add_job('j1', [step(FULL)], progress=progress)
    context.small.look('w1', ended=[end])


@when('a job fails on two runs')
def fail_two_runs(context):
    small = context.small
    small.add_job('j1', [step()])
    for number in (1, 2):
        start = small.plan().starts[0]
        small.look(start.runner, ended=[(number, start.task, start.run, 'failed')])


@then('the job is failed')
def job_failed(context):
    assert context.small.cell.job_by_id['j1'].state is JobState.FAILED


@then('the job is not failed')
def job_not_failed(context):
    job = context.small.cell.job_by_id['j1']
    assert job.state is JobState.RUNNING, job.state
    assert job.steps(0)[0].tasks[0].failures == 1


@given('a job that runs for the second time on another runner')
def second_run(context):
    small = context.small
    small.add_job('j1', [step()])
    context.first = small.plan().starts[0]
    small.cell.runner_lapsed(context.first.runner)
    small.cell.runner_by_id[context.first.runner].suspect = True
    context.second = small.plan().starts[0]
    assert context.second.runner != context.first.runner


@when('the first runner lists the end of the first run as done')
def first_done(context):
    first = context.first
    context.small.look(first.runner, ended=[(1, first.task, first.run, 'done')])


@then('the second run is stopped and the job is complete')
def second_stopped(context):
    assert context.second.phase is Holding.STOPPING
    assert context.small.cell.job_by_id['j1'].state is JobState.COMPLETED


@given('a gang of {count:d} tasks of {cpu:d} with one start unanswered')
def gang_unanswered(context, count, cpu):
    small = context.small
    small.add_job('j1', [step(cpu, count, gang=True)], queue='gangs')
    starts = small.plan(start=False).starts
    assert len(starts) == count
    assert len({start.run for start in starts}) == 1
    for start in starts[1:]:
        small.cell.start_answered(start, StartReply.STARTED, small.now)


@when("the gang's share of the timeout has passed")
def gang_times_out(context):
    context.small.now += 2
    context.small.cell.check_gangs(context.small.now, context.small.now)


@then('its other members are stopped')
def gang_stopped(context):
    assert len(context.small.cell.take_stops()) == 4


@when('a gang of {count:d} tasks of {cpu:d} is handed in')
def hand_in_gang(context, count, cpu):
    context.small.add_job('j1', [step(cpu, count, gang=True)], queue='gangs')
    context.made = context.small.plan()


@given('urgent tasks that fill w1 for 2 s and half of w2 for 2 s')
def urgent_tasks(context):
    small = context.small
    for job, cpu, runner in (('u1', 16_000, 'w1'), ('u2', 16_000, 'w1'), ('u3', 16_000, 'w2')):
        small.add_job(job, [step(cpu, seconds=2.0)])
        assert small.plan().starts[0].runner == runner


@when('a gang of 2 tasks of 20000 and a batch task of {seconds:g} s are handed in')
def gang_and_batch(context, seconds):
    small = context.small
    small.add_job('g1', [step(20_000, 2, gang=True, seconds=2.0)], queue='gangs')
    small.add_job('b1', [step(4000, seconds=seconds)], queue='batch')
    context.made = small.plan()


@then('the batch task {outcome}')
def batch_outcome(context, outcome):
    started = [start.task.job for start in context.made.starts]
    assert started == (['b1'] if outcome == 'starts' else []), started


@given('a job of 2 tasks, one on each runner at most, whose first task runs again on w2')
def limited_job(context):
    small = context.small
    small.add_job('j1', [step(count=2, max_per_runner=1)])
    small.plan()
    first = next(start for start in small.allocations if start.task.index == 0)
    other = next(start for start in small.allocations if start.task.index == 1)
    context.first_runner, context.second_runner = first.runner, other.runner
    # The other task ends without success, and a lost run makes room for the first one.
    small.cell.withdraw(other)
    small.cell.runner_lapsed(first.runner)
    small.cell.runner_by_id[first.runner].suspect = True
    context.first = first
    again = small.plan().starts
    assert [start.runner for start in again] == [other.runner], again
    context.again = again[0]


@when('w1 lists the end of the first run as done, and the other task is free to start')
def first_run_done(context):
    small = context.small
    first = context.first
    if context.again.task == first.task:
        small.look(first.runner, ended=[(1, first.task, first.run, 'done')])
    small.cell.runner_by_id[first.runner].suspect = True
    context.made = small.plan()


@then('it does not start on w2 before the stopped run has ended')
def not_beside(context):
    small = context.small
    assert context.again.task == context.first.task, context.again
    assert not context.made.starts, context.made.starts
    stopped = small.cell.take_stops()
    assert stopped == [context.again]
    ended = [(1, context.again.task, context.again.run, 'stopped')]
    small.look(context.second_runner, ended=ended)
    made = small.plan()
    assert [start.task.index for start in made.starts] == [1], made.starts


@given('{kind} that fill w1 and w2 for {seconds:g} s')
def filling_tasks(context, kind, seconds):
    queue = kind.split()[0]
    keeps = kind.endswith('with checkpoints')
    tasks = step(8000, 8, seconds=seconds, checkpointing=keeps)
    context.small.add_job('f1', [tasks], queue=queue, age=getattr(context, 'age', 0.0))
    context.filling = context.small.plan().starts
    assert len(context.filling) == 8


@given('a job handed in {age:g} s ago, of {kind}, in all of w1 and w2 for {seconds:g} s')
def aged_tasks(context, kind, age, seconds):
    context.age = age
    filling_tasks(context, kind, seconds)


@given('plain tasks with checkpoints that fill both')
def filling_both(context):
    filling_tasks(context, 'plain tasks with checkpoints', 4.0)


@when('a gang of 2 tasks of 20000 comes after them')
def gang_handed_in(context):
    # The cell whose queue asks for advice has no queue of gangs.
    queue = 'urgent' if 'plain' in context.small.cell.configuration.queue_by_name else 'gangs'
    context.small.add_job('g1', [step(20_000, 2, gang=True, seconds=2.0)], queue=queue)
    context.made = context.small.plan()


@then('{count:d} of them are stopped')
def are_stopped(context, count):
    stopped = context.small.cell.take_stops()
    assert len(stopped) == count, stopped
    assert stopped == context.made.preempted


@when('the stopped tasks are listed with their checkpoints')
def stopped_listed(context):
    small = context.small
    context.stopped = small.cell.take_stops()
    for number, victim in enumerate(context.stopped, 1):
        ended = EndedRun(number, victim.task, victim.run, Outcome.STOPPED, f'saved {number}')
        kept = [run for run in small.runs_on(victim.runner) if run != (victim.task, victim.run)]
        listed = tuple(RunningTask(name, run, '', 0, 0.0) for name, run in kept)
        view = RunnerView(small.now, listed, (ended,))
        small.cell.viewed(small.cell.runner_by_id[victim.runner], view, small.now, small.now)
    context.made = small.plan()


@then('each stopped task waits with its checkpoint')
def waits_with_checkpoint(context):
    job = context.small.cell.job_by_id['f1']
    for victim in context.stopped:
        found = job.find(victim.task)
        assert found[1].checkpoint.startswith('saved'), found


@when('it is allowed on both runners by tickets that have expired')
def expired_on_both(context):
    small = context.small
    question = context.made.questions[0]
    permits = [Permit(runner, 'ticket') for runner in question.runners]
    small.cell.tickets.note(question.step, question.runners, permits, small.now - 1)
    context.made = small.plan()


@then('nothing is stopped, and new tickets are asked for')
def nothing_stopped(context):
    assert not context.small.cell.take_stops()
    tickets_asked(context)


@when('the tickets are there')
def tickets_there(context):
    small = context.small
    question = context.made.questions[0]
    permits = [Permit(runner, 'ticket') for runner in question.runners]
    small.cell.tickets.note(question.step, question.runners, permits, small.now + 2)
    context.made = small.plan()


@when('the urgent tasks are done')
def urgent_done(context):
    small = context.small
    small.now += 2
    for number, start in enumerate(small.allocations[:3]):
        small.look(start.runner, ended=[(number + 1, start.task, start.run, 'done')])
    context.made = small.plan()


@then('the gang starts')
def gang_starts(context):
    assert [start.task.job for start in context.made.starts][:2] == ['g1', 'g1']


@given('a cell of {count:d} runners whose queue asks for advice')
def advised_cell(context, count):
    queues = (make_queue('urgent', advice=(0.01, 0.001, 2.0)), make_queue('plain', 2, slack=4.0))
    context.small = SmallCell([f'r{number}' for number in range(count)], queues=queues)


@given('tasks of another queue on all of them')
def fill_all(context):
    fill_runners(context, 40)


@given('tasks of another queue on {count:d} of them')
def fill_runners(context, count):
    context.small.add_job('filling', [step(FULL, count=count)], queue='plain')
    assert len(context.small.plan().starts) == count


@then('nothing is asked')
def nothing_asked(context):
    assert not context.made.questions, context.made.questions


@when('50 jobs of a task of 8000 are handed in')
def fifty_jobs(context):
    for number in range(50):
        context.small.add_job(f'j{number:02}', [step(8000)])
    context.made = context.small.plan()


@then('{count:d} questions are asked')
def questions_asked(context, count):
    assert len(context.made.questions) == count, context.made.questions


@when('a gang of 20 tasks of 9000 asks for tickets')
def gang_asks(context):
    context.small.add_job('j1', [step(9000, count=20, gang=True)])
    context.made = context.small.plan()


@then('{count:d} questions name {runners:d} runners, none of them twice')
def questions_name(context, count, runners):
    named = [runner for question in context.made.questions for runner in question.runners]
    assert len(context.made.questions) == count, context.made.questions
    assert len(named) == len(set(named)) == runners, len(named)


@then('nothing more is asked until the last answer')
def nothing_more(context):
    small = context.small
    for question in context.made.questions[:-1]:
        small.cell.tickets.note(question.step, question.runners, [], small.now + 2)
    assert not small.plan().questions
    last = context.made.questions[-1]
    small.cell.tickets.note(last.step, last.runners, [], small.now + 2)
    assert small.plan().questions


@given('8 hosts that are slow to answer')
def asking_hosts(context):
    context.hosts = SilentHosts()


@when('10 questions of priority 1 and then one of priority {priority:d} are put')
def put_questions(context, priority):
    async def put():
        hosts = {f'h{number}': Member('north', '10.0.0.1', 7) for number in range(8)}
        pool = AdvicePool(
            'h0',
            lambda: hosts,
            context.hosts,
            context.hosts,
            SystemClock(),
            journal(),
            no_answer,
            no_answer,
        )
        policy = AdvicePolicy(0.2, 0.0, 2.0)
        for number in range(10):
            await pool.ask(Question(StepName(f'p{number}', 0, 0), ('r1',), 1, policy))
        await pool.ask(Question(StepName('last', 0, 0), ('r1',), priority, policy))
        # Every question that has a host has reached it once all tasks have run.
        await curio.sleep(0)
        await curio.sleep(0)

    curio.run(put)


async def no_answer(*told):
    """Take an answer; there is none."""


@then('{count:d} hosts are busy, and the last question is {fate}')
def hosts_busy(context, count, fate):
    assert len(context.hosts.jobs) == count, context.hosts.jobs
    assert ('last' in context.hosts.jobs) == (fate == 'put'), context.hosts.jobs


class SilentHosts:
    """This host's adviser and its peers' links; none of them ever answers."""

    def __init__(self):
        self.jobs = []

    async def ask(self, place, wanted, patience):
        self.jobs.append(place.job if isinstance(place, StepName) else wanted.job)
        await curio.sleep(LONG)


@when('a job of 2 tasks is handed in')
def two_tasks(context):
    context.small.add_job('j1', [step(count=2)])
    context.made = context.small.plan()
    assert not context.made.starts


@then('the question names 12 runners')
def question_names(context):
    assert [len(question.runners) for question in context.made.questions] == [12]
    assert not context.small.plan().questions


@then('the job starts on the runners that are allowed')
def starts_allowed(context):
    small = context.small
    question = context.made.questions[0]
    allowed = question.runners[3]
    permits = [Permit(allowed, 'ticket')]
    small.cell.tickets.note(question.step, question.runners, permits, small.now + 2)
    starts = small.plan().starts
    assert {(start.runner, start.ticket) for start in starts} == {(allowed, 'ticket')}


@when('a gang that was handed in an hour ago waits for tickets that expired')
def late_gang(context):
    small = context.small
    small.add_job('g1', [step(count=2, gang=True)], age=3600)
    question = small.plan().questions[0]
    permits = [Permit(runner, 'ticket') for runner in question.runners]
    small.cell.tickets.note(question.step, question.runners, permits, small.now - 1)
    context.made = small.plan()


@then('new tickets are asked for')
def tickets_asked(context):
    assert len(context.made.questions) == 1


@when('its tickets expire before it could start')
def tickets_expire(context):
    small = context.small
    question = context.made.questions[0]
    context.allowed = question.runners[3]
    permits = [Permit(context.allowed, 'ticket')]
    small.cell.tickets.note(question.step, question.runners, permits, small.now + 2)
    small.now += 3
    context.made = small.plan()


@then('the next question names only allowed runners')
def asks_allowed(context):
    assert [question.runners for question in context.made.questions] == [(context.allowed,)]


@when('w1 drains and a job is handed in')
def drain_and_hand_in(context):
    context.small.drain('w1')
    hand_in(context)


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
    context.small.cell.evacuate(context.small.now)


@then('the task is {fate:w}')
def fate_of_task(context, fate):
    stopped = context.small.cell.take_stops()
    assert stopped == ([] if fate == 'left' else [context.start])


@when('a job is planned and cancelled before its start is sent')
def planned_and_cancelled(context):
    context.small.add_job('j1', [step()])
    context.start = context.small.plan(start=False).starts[0]
    context.small.cancel('j1')


@then('the start may not be sent')
def may_not_send(context):
    assert not context.small.cell.may_start(context.start)


@given('a lease of 5 s granted to a runner that falls silent')
def grant_lease(context):
    context.state = RunnerState(make_registration('w1'))
    context.state.note_clock(500, 1000)
    context.state.extend_lease(1000, 5)


@when('{seconds:f} s have passed')
def time_passes(context, seconds):
    context.lapsed = context.state.lapsed(1000 + seconds, 0.02)


@when('it is looked at again and again without an answer')
def look_in_vain(context):
    state = context.state
    context.lapsed = False
    for tenths in range(60):
        now = 1000 + tenths / 10
        state.renew_lease(now, 5)
        state.missed = True
        context.lapsed = context.lapsed or state.lapsed(now, 0.02)


@then('the leases have run out: {answer}')
def leases_lapsed(context, answer):
    assert context.lapsed is (answer == 'yes')


@when('a job of two steps in a row is handed in')
def two_steps(context):
    context.small.add_job('j1', [step(), step(depends_on=(0,))])
    context.made = context.small.plan()


@then('only the first step starts')
def first_step(context):
    assert [start.task.step for start in context.made.starts] == [0]


@when('the first step is done')
def first_step_done(context):
    start = context.made.starts[0]
    context.small.look(start.runner, ended=[(1, start.task, start.run, 'done')])
    context.made = context.small.plan()


@then('the second step starts')
def second_step(context):
    assert [start.task.step for start in context.made.starts] == [1]


@when('a job with {rule} is handed in')
def job_with_rule(context, rule):
    small = context.small
    small.registration_by_id['w2'] = make_registration('w2', labels=('b', 'r-2'), port=2)
    small.see_runners()
    made = {
        '4 tasks': step(count=4),
        '4 tasks, at most 2 each': step(count=4, max_per_runner=2),
        '2 tasks that need b': step(count=2, required_label='b'),
        '2 tasks with data at r-2': step(count=2, data_rack='r-2'),
    }
    small.add_job('j1', [made[rule]])
    small.plan()


@then('it holds {counts} on w1 and w2')
def holds(context, counts):
    found = (len(context.small.runs_on('w1')), len(context.small.runs_on('w2')))
    assert f'{found[0]}, {found[1]}' == counts, found
