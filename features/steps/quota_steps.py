"""Steps on quotas and job rates of client accounts."""

import random
from dataclasses import replace

from behave import given, then, when
from behave import step as any_step

from dandelionreel.cell.decisions import Planner
from dandelionreel.cell.decisions._job_rates import JobRates
from dandelionreel.cell.decisions._job_run import JobRun
from dandelionreel.cell.decisions._step_run import TaskPhase
from dandelionreel.cell.model import Demand, JobState, StartReply, Submission
from dandelionreel.cell.model._model import JobSpec
from dandelionreel.cell.model._records import Leftover, Progress
from dandelionreel.cell.store import StoredJob
from features.account_parts import make_account, make_configuration
from features.cell_parts import START, SmallCell, make_queue, step

RUNNERS = ('w1', 'w2', 'w3')
URGENT = make_queue('urgent')
BATCH = make_queue('batch', 2, 3, 4.0, 3.0)
GANGS = make_queue('gangs', 1, 4, 2.2, 1.0)
ALL = (URGENT, GANGS, BATCH)


class AccountCell(SmallCell):
    """A small cell whose jobs belong to accounts."""

    def __init__(self, accounts, runners=('w1', 'w2'), seen=True):
        super().__init__(runners, queues=ALL, seen=seen)
        self.configure(accounts)
        self.submitted = 0
        #: Runners whose runs do not end.
        self.hanging = set()

    def configure(self, accounts):
        """Install a configuration with these accounts."""
        self.cell.configuration = make_configuration(ALL, accounts)

    def submit_job(self, account, steps, queue='urgent', progress=None):
        """Add a job of an account as if read from the store; return the job."""
        self.submitted += 1
        job = f'{self.submitted:016x}'
        submission = Submission(queue, 'desk', self.now, JobSpec('', tuple(steps)), '', account)
        self.cell.update_job(StoredJob(job, submission, False, progress), self.now, self.now)
        return self.cell.job_by_id[job]

    def placed(self, job):
        """Return how many tasks of a job are placed."""
        return sum(task.phase is TaskPhase.PLACED for step in job.steps(0) for task in step.tasks)

    def resize(self, runner, cores):
        """Set the number of cores of a runner."""
        registration = self.registration_by_id[runner]
        capacity = Demand(1000 * cores, registration.capacity.memory_mb, 0)
        self.registration_by_id[runner] = replace(registration, capacity=capacity)
        self.update_runners()

    def in_use(self, account):
        """Return the millicores of all runs of an account that the runners hold."""
        return sum(
            held.demand.cpu
            for runner in self.cell.runner_by_id.values()
            for held in runner.allocation_by_run.values()
            if held.account == account
        )

    def end(self, allocation, outcome='done'):
        """Have the runner list the end of a run."""
        runner = self.cell.runner_by_id[allocation.runner]
        number = runner.processed_end + 1
        self.poll(runner.id, ended=((number, allocation.task, allocation.run, outcome),))

    def end_older_runs(self, seconds):
        """End all runs that were placed at least ``seconds`` ago."""
        for runner in tuple(self.cell.runner_by_id.values()):
            if runner.id in self.hanging:
                continue
            for held in tuple(runner.allocation_by_run.values()):
                if self.now - held.placed_at >= seconds - 1e-9:
                    self.end(held)


def make_blue_account(cores, weight=1000.0):
    return make_account('blue', weight, cores)


def make_red_account(cores=None, weight=1000.0):
    return make_account('red', weight, cores)


@given('the account blue with a quota of {cores:g} cores, and {free:d} cores free')
def one_account(context, cores, free):
    context.small = AccountCell((make_blue_account(cores), make_red_account()), runners=('w1',))
    context.small.resize('w1', free)


@given('nothing runs')
def nothing_runs(context):
    assert not context.small.runs_on('w1')


@given('a task of {account} of {cores:g} cores runs')
def task_runs(context, account, cores):
    context.first = context.small.submit_job(account, [step(int(cores * 1000))])
    plan = context.small.plan()
    assert len(plan.starts) == 1, plan
    context.first_start = plan.starts[0]


@given('a task of blue of {cores:g} cores is being stopped')
def task_stopping(context, cores):
    task_runs(context, 'blue', cores)
    context.small.cell.cancel_job(context.first.id)
    context.small.cell.take_stops()


@given('a start of blue of {cores:g} cores has an unknown outcome')
def start_without_answer(context, cores):
    context.first = context.small.submit_job('blue', [step(int(cores * 1000))])
    start = context.small.plan(start=False).starts[0]
    context.small.cell.revoke_start(start)
    context.small.cell.cancel_job(context.first.id)


@given("blue's quota is lowered to {cores:g} cores while 4 are in use")
def lower_quota(context, cores):
    task_runs(context, 'blue', 4)
    context.small.configure((make_blue_account(cores), make_red_account()))


@given("blue's quota is raised to {cores:g} cores")
def raise_quota(context, cores):
    context.small.configure((make_blue_account(cores), make_red_account()))


@given('blue is removed from the configuration')
def remove_account(context):
    context.small.configure((make_red_account(),))


@when('blue submits {count:d} tasks of {cores:g} cores')
def submits_tasks(context, count, cores):
    context.job = context.small.submit_job('blue', [step(int(cores * 1000), count)])
    context.small.plan()


@when('blue submits a gang of {count:d} tasks of {cores:g} cores')
def submits_gang(context, count, cores):
    gang = step(int(cores * 1000), count, gang=True)
    context.job = context.small.submit_job('blue', [gang], 'gangs')
    context.small.plan()


@then('{count:d} of them start')
def tasks_started(context, count):
    assert context.small.placed(context.job) == count, context.small.placed(context.job)


@given('the account blue with a quota of {cores:g} cores, and a successor that cannot reach w3')
def successor(context, cores):
    context.small = AccountCell(
        (make_blue_account(cores), make_red_account()), runners=RUNNERS, seen=False
    )
    context.small.cell.unseen_runners.add('w3')
    for runner in ('w1', 'w2'):
        context.small.poll(runner)


@given('a job of {account} of {count:d} tasks of {cores:g} cores may run on w3')
def may_run_unseen(context, account, count, cores):
    progress = Progress(1, JobState.RUNNING, runners=('w3',))
    steps = [step(int(cores * 1000), count)]
    context.first = context.small.submit_job(account, steps, progress=progress)


@any_step('a job of blue that may run on w3 with {cores:g} cores is cancelled')
def cancelled_unseen(context, cores):
    may_run_unseen(context, 'blue', 2, cores / 2)
    context.small.plan()
    context.small.cell.cancel_job(context.first.id)
    context.small.plan()


@then('its end is stored with {cores:g} cores that may be left on w3')
def stored_leftovers(context, cores):
    (leftover,) = context.small.cell.leftovers_of(context.first, context.small.now)
    assert (leftover.runner, leftover.demand.cpu) == ('w3', 1000 * cores), leftover


@given('a cancelled job of blue {verb} {cores:g} cores left on w3{when}')
def cancelled_left(context, verb, cores, when):
    ended_at = START - (60 if 'ago' in when else 1)
    leftover = Leftover('w3', Demand(int(cores * 1000), 10, 0))
    progress = Progress(
        1, JobState.CANCELLED, ended_at=ended_at, account='blue', leftovers=(leftover,)
    )
    context.small.cell.quotas.expect_leftovers('f' * 16, progress, START)


@given('a cancelled job of blue has {cores:g} cores left on w3')
def cancelled_just_left(context, cores):
    cancelled_left(context, 'has', cores, '')


@when('w3 runs one of its tasks and is polled')
def poll_unseen_with_one_run(context):
    name = context.first.steps(0)[0].tasks[0].name
    context.small.poll('w3', running=((name, 1),))
    context.small.now += 0.1
    context.small.plan()


@when('w3 runs none of them and is polled')
def poll_unseen_without_runs(context):
    context.small.poll('w3')
    context.small.now += 0.1
    context.small.plan()


@when('w3 is polled and lists a run of that job')
def poll_unseen_with_run(context):
    name = JobRun('f' * 16, Submission('urgent', 'desk', 0, JobSpec('', (step(),))), 0)
    context.leftover_run = (name.steps(0)[0].tasks[0].name, 1)
    context.small.poll('w3', running=(context.leftover_run,))
    context.small.now += 1


@when('the run is stopped')
def run_stopped(context):
    context.small.poll('w3', ended=((1, *context.leftover_run, 'stopped'),))
    context.small.now += 1
    context.small.plan()


@when('a gang of 3 tasks of 2 cores waits while {kind} tasks of blue keep arriving')
def gang_waits(context, kind):
    small = context.small
    queue = 'urgent' if kind == 'urgent' else 'batch'
    for _ in range(4):
        small.submit_job('blue', [step(2000)], queue)
    small.plan()
    small.now += 0.1
    context.gang = small.submit_job('blue', [step(2000, 3, gang=True)], 'gangs')
    context.gang_started_at = None
    context.red_start_count = 0
    while small.now < START + 30:
        small.now += 0.1
        held = tuple(small.cell.runner_by_id['w1'].allocation_by_run.values())
        old = [one for one in held if small.now - one.placed_at >= 0.5]
        # At most one run of blue ends per round, and the next task of blue follows it.
        for one in [one for one in old if one.account == 'blue'][:1]:
            small.end(one)
        for one in [one for one in old if one.account == 'red']:
            small.end(one)
        small.submit_job('blue', [step(2000)], queue)
        other = small.submit_job('red', [step(1000)])
        small.plan()
        context.red_start_count += small.placed(other)
        if small.placed(context.gang) and context.gang_started_at is None:
            context.gang_started_at = small.now
            break


@then('the gang starts within 30 s')
def gang_started(context):
    assert context.gang_started_at is not None
    assert context.small.placed(context.gang) == 3


@then('tasks of red start in the meantime')
def others_started(context):
    assert context.red_start_count > 0


@when('a gang of 3 tasks of 2 cores waits for a quota that is lowered to {cores:g} cores')
def gang_exceeds_quota(context, cores):
    small = context.small
    small.submit_job('blue', [step(4000)])
    small.plan()
    context.gang = small.submit_job('blue', [step(2000, 3, gang=True)], 'gangs')
    small.plan()
    small.configure((make_blue_account(cores), make_red_account()))
    small.now += 1
    small.end_older_runs(0.5)


@given('a successor finds a {kind} task of blue of {cores:d} cores, and a quota of 12 cores')
def successor_with_lowered_quota(context, kind, cores):
    small = AccountCell((make_blue_account(12), make_red_account()), RUNNERS, seen=False)
    context.small = small
    small.cell.unseen_runners.update(RUNNERS)
    progress = Progress(1, JobState.RUNNING, runners=('w1',))
    # Its runner has no space for other runs, so the helpers never poll it without this run.
    small.resize('w1', cores)
    small.hanging.add('w1')
    steps = [step(1000 * cores, long_running=kind == 'long-running')]
    lasting = small.submit_job('blue', steps, 'batch', progress)
    small.poll('w1', running=((lasting.steps(0)[0].tasks[0].name, 1),))
    small.poll('w2')
    small.poll('w3')


@when('a gang of 3 tasks of 2 cores waits for the quota, and {cause}')
def gang_waits_in_vain(context, cause):
    small = context.small
    if 'silent' in cause:
        elsewhere = replace(GANGS, name='elsewhere', service='elsewhere')
        small.cell.configuration = make_configuration(
            (*ALL, elsewhere), (make_blue_account(12), make_red_account())
        )
        registration = small.registration_by_id['w3']
        small.registration_by_id['w3'] = replace(registration, service='elsewhere')
        small.update_runners()
        small.submit_job('blue', [step(3000)])
    queue = 'elsewhere' if 'silent' in cause else 'gangs'
    context.gang = small.submit_job('blue', [step(2000, 3, gang=True)], queue)
    small.plan()
    small.cell.runner_by_id['w3'].suspect = True
    for _ in range(90 if 'hangs' in cause else 0):
        small.now += 1
        small.plan()


@when('a gang of 3 tasks of 2 cores waits while urgent tasks of blue arrive for 60 s')
def gang_without_slots(context):
    context.gang = context.small.submit_job('blue', [step(2000, 3, gang=True)], 'gangs')
    submit_each_second(context)


@when(
    'its quota is in use for {seconds:d} s while {count:d} gangs of 3 tasks of 2 cores wait for a missing label'
)
def gangs_wait_for_label(context, seconds, count):
    small = context.small
    small.submit_job('blue', [step(8000)])
    small.plan()
    gang = step(2000, 3, gang=True, required_label='missing')
    context.gangs = [small.submit_job('blue', [gang], 'gangs') for _ in range(count)]
    for _ in range(10 * seconds):
        small.plan()
        small.now += 0.1
    small.end_older_runs(seconds)


@then('{kind} tasks of blue start in at least {seconds:d} of the next 60 seconds')
def others_start_beside_gangs(context, kind, seconds):
    submit_each_second(context, 'urgent' if kind == 'urgent' else 'batch')
    assert context.started >= seconds, context.started


def submit_each_second(context, queue='urgent'):
    """Submit a short task of blue every second for a minute."""
    small = context.small
    context.started = 0
    for _ in range(60):
        job = small.submit_job('blue', [step(2000)], queue)
        context.started += any(start.task.job == job.id for start in small.plan().starts)
        small.now += 0.5
        small.end_older_runs(0.5)
        small.plan()
        small.now += 0.5
        small.end_older_runs(0.5)


@then('urgent tasks of blue start in at least {seconds:d} of these seconds')
def started_most(context, seconds):
    assert context.started >= seconds, context.started


@then('urgent tasks of blue start every second, and the gang does not')
def others_keep_starting(context):
    submit_each_second(context)
    assert context.started == 60, context.started
    assert context.small.placed(context.gang) == 0


@when('gangs of 3 tasks of 2 cores keep arriving, the newest ones the most urgent')
def gangs_without_end(context):
    small = context.small
    gang = step(2000, 3, gang=True)
    context.gangs = [small.submit_job('blue', [gang], 'batch') for _ in range(3)]
    context.idle_rounds = 0
    context.started_jobs = set()
    while small.now < START + 40:
        if small.now < START + 20:
            context.gangs.append(small.submit_job('blue', [gang], 'urgent'))
        plan = small.plan()
        context.started_jobs.update(start.task.job for start in plan.starts)
        context.idle_rounds += small.in_use('blue') == 0 and small.now < START + 20
        small.now += 0.5
        small.end_older_runs(0.5)


@then('one of them runs at all times, and all have started in the end')
def gangs_take_turns(context):
    pending = [gang.id for gang in context.gangs if gang.id not in context.started_jobs]
    assert not pending, (len(pending), len(context.gangs))
    assert not context.idle_rounds, context.idle_rounds


@given('the accounts blue and red with a rate of {rate:g} jobs a second each, and 8 cores')
def two_accounts(context, rate):
    context.small = AccountCell(
        (make_blue_account(None, rate), make_red_account(None, rate)), runners=('w1',)
    )
    context.small.resize('w1', 8)


@when('blue submits {many:d} urgent jobs and then red {few:d}, each of 1 core for 0.5 s')
def submit_beyond_rate(context, many, few):
    small = context.small
    context.jobs = [small.submit_job('blue', [step(1000)]) for _ in range(many)]
    context.jobs_of_red = [small.submit_job('red', [step(1000)]) for _ in range(few)]
    context.order = []
    for _ in range(6):
        plan = small.plan()
        context.order.extend(start.task.job for start in plan.starts)
        small.now += 0.5
        small.end_older_runs(0.5)
    context.order.extend(start.task.job for start in small.plan().starts)


@then('all jobs of red are among the first {count:d} to start')
def check_red_first(context, count):
    # The first five jobs of each account are within its rate, and 8 cores run 8 jobs at once.
    positions = [context.order.index(job.id) for job in context.jobs_of_red]
    assert max(positions) < count, positions


@then('all {count:d} jobs have started after 3 s')
def all_started(context, count):
    assert len(set(context.order)) == count, len(set(context.order))


@when('blue submits {many:d} urgent jobs while red keeps the cell full for {seconds:d} s')
def keep_cell_full(context, many, seconds):
    small = context.small
    context.jobs = [small.submit_job('blue', [step(1000)]) for _ in range(many)]
    started = set()
    # Red submits more jobs than the cell can run, all of them within its rate.
    small.configure((make_blue_account(None, 5), make_red_account(None, 1000)))
    for _ in range(2 * seconds):
        for _ in range(8):
            small.submit_job('red', [step(1000)])
        started.update(start.task.job for start in small.plan().starts)
        small.now += 0.5
        small.end_older_runs(0.5)
    context.started = started


@then('all jobs of blue have started')
def blue_started(context):
    pending = [job for job in context.jobs if job.id not in context.started]
    assert not pending, len(pending)


@given('an account with a rate of {rate:g} jobs a second')
def make_account_with_rate(context, rate):
    context.rate = rate


@when('jobs are accepted at {seconds}')
def accepted_at(context, seconds):
    rates = JobRates()
    context.within = [
        text for text in seconds.split() if rates.take_token('blue', context.rate, float(text))
    ]


@then('those at {within} are within its rate')
def within_rate(context, within):
    assert context.within == within.split(), context.within


@when('blue submits a step of {count:d} {kind} of 2 cores that take 1 s')
def submit_wide_step(context, count, kind):
    gang = kind == 'gang members'
    context.job = context.small.submit_job('blue', [step(2000, count, 1.0, gang=gang)])


@then('its objective counts {waves:d} waves')
def check_waves(context, waves):
    objective = context.small.cell.objective_of(context.job)
    assert objective == URGENT.slack * waves + URGENT.latency, objective


@then('random sequences of starts, ends, lost answers, stops and changes keep every quota')
def random_sequences(context):
    for seed in range(40):
        play_random_events(random.Random(seed))
    # In 90 s, gangs wait long enough for their accounts to wait for them.
    for seed in range(6):
        play_random_events(random.Random(seed), events=450, overload_control=True)


def play_random_events(rng, events=60, *, overload_control=False):
    """Play random events on a cell; check each start against its account's quota."""
    cores = {'blue': 8, 'red': 12}
    small = AccountCell((make_blue_account(8), make_red_account(12)), runners=RUNNERS)
    small.planner = Planner(small.cell, overload_control=overload_control)
    for _ in range(events):
        small.now += rng.random() * 0.4
        event_draw = rng.random()
        if event_draw < 0.1:
            cores = {'blue': rng.choice((2, 8, 16)), 'red': rng.choice((4, 12, 40))}
            small.configure((make_blue_account(cores['blue']), make_red_account(cores['red'])))
        elif event_draw < 0.6:
            gang = rng.random() < 0.3
            steps = [step(rng.choice((500, 2000, 4000)), rng.randint(1, 5), gang=gang)]
            account = rng.choice(('blue', 'red'))
            queue = rng.choice(('urgent', 'gangs', 'batch'))
            small.submit_job(account, steps, queue)
        elif event_draw < 0.7:
            jobs = [job for job in small.cell.job_by_id.values() if not job.is_finished]
            if jobs:
                small.cell.cancel_job(rng.choice(jobs).id)
        elif event_draw < 0.8:
            small.cell.take_stops()
        check_starts(small, rng, cores)
        end_some_runs(small, rng)


def check_starts(small, rng, cores):
    used_before = {account: small.in_use(account) for account in cores}
    plan = small.plan(start=False)
    for account, limit in cores.items():
        started = sum(start.demand.cpu for start in plan.starts if start.account == account)
        assert not started or used_before[account] + started <= 1000 * limit, (
            account,
            used_before,
            started,
            limit,
        )
    for start in plan.starts:
        answer = rng.random()
        if answer < 0.8:
            small.cell.handle_start_reply(start, StartReply.STARTED, small.now)
        elif answer < 0.9:
            small.cell.revoke_start(start)
        else:
            small.cell.handle_start_reply(start, StartReply.NO_ROOM, small.now)


def end_some_runs(small, rng):
    for runner in tuple(small.cell.runner_by_id.values()):
        for held in tuple(runner.allocation_by_run.values()):
            if small.now - held.placed_at > 0.5 and rng.random() < 0.5:
                small.end(held, rng.choice(('done', 'done', 'failed', 'stopped')))
