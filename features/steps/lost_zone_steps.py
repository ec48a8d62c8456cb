"""Steps on availability zones that are lost with their hosts and runners."""

import curio
from behave import given, then, when

from dandelionreel.cell.membership._election import Term
from dandelionreel.cell.model import WriterFence
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    PROGRESS_PREFIX,
    RUNNERS_IN_USE_KEY,
    SUBMISSION_PREFIX,
    JobSpec,
    Member,
    Owner,
    Progress,
    RunnersInUse,
    Submission,
    make_record,
)
from dandelionreel.cell.model._services import RunnerError, RunnerReplaced
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.kernel import ManualClock, Verdict
from features.cell_parts import SmallCell, make_registration, step
from features.steps.platform_steps import make_job, start_hosts, submit_job
from features.store_parts import Host, SilentPeerLinks, make_dispatcher, make_owner_context
from standins import MemoryTopic, wait_for

JOB = '0123456789abcdef'
ZONES = ('north', 'south', 'west')
#: Addresses of the hosts of this feature, which runs beside others.
BLOCK = 9


class FailingRunner:
    """A runner whose polls fail in one way."""

    def __init__(self, error):
        self._error = error

    async def poll(self, epoch, acknowledged, lease_until, wait):
        """Fail."""
        raise self._error


@given('an owner whose runner in a zone without hosts {state}')
def owner_of_failing_runner(context, state):
    clock = ManualClock(1000)
    small = context.small = SmallCell(runners=())
    small.now = 1000
    small.registration_by_id['w1'] = make_registration('w1', zone='south')
    small.update_runners()
    small.poll('w1')
    small.add_job(JOB, [step()])
    small.plan()
    owner = make_owner_context(small.cell, clock)
    runner_state = small.cell.runner_by_id['w1']
    runner_state.renew_lease(1000, owner.lease)
    error = RunnerReplaced('w1')
    if state.startswith('has been silent'):
        clock.advance(float(state.split()[-2]))
        # A runner that did not answer the poll before gets no renewal.
        runner_state.missed_last_poll = True
        error = RunnerError('no answer in time', Verdict.UNKNOWN)
    # The owner itself reaches the store all the while.
    owner.writer.stored_at = clock.monotonic()
    curio.run(RunnerPoller(owner)._poll_runner_once, runner_state, FailingRunner(error))


@then('the runs there {fate}')
def check_runs(context, fate):
    job = context.small.cell.job_by_id[JOB]
    assert bool(job.ready_steps(0)) is (fate == 'are started again'), fate


@given('a new owner, and a runner in use in a zone whose hosts do not answer')
def new_owner(context):
    topic = MemoryTopic()
    submission = Submission('urgent', 'desk', 0.0, JobSpec('payload', (step(),)))
    records = [
        make_record(SUBMISSION_PREFIX + JOB, submission),
        make_record(PROGRESS_PREFIX + JOB, Progress(1, JobState.RUNNING, runners=('w1',))),
        make_record(RUNNERS_IN_USE_KEY, RunnersInUse(1, ('w1',))),
        make_record(f'{MEMBER_PREFIX}south-1', Member('south', '127.0.0.1', 1)),
    ]
    curio.run(topic.append, records, 1)
    host = Host('me', topic)
    former = Owner(1, 'south-1', 'south-1/1')

    async def load():
        await curio.spawn(host.follower.run, daemon=True)
        while not host.follower.has_reached_end:
            await curio.sleep(0.01)
        now = host.clock.monotonic()
        term = Term(2, 'me/1', WriterFence(2, 1), now, False, False, former=former)
        links = SilentPeerLinks()
        dispatcher = make_dispatcher(host, term, topic, host.clock, links=links)
        dispatcher._dependencies.runners.registration_by_id = {
            'w1': make_registration('w1', zone='south')
        }
        dispatcher._load_state()
        return dispatcher

    context.dispatcher = curio.run(load)


@then('the jobs there are blocked until the leases of earlier owners have expired, and not longer')
def check_blocked(context):
    cell = context.dispatcher.cell
    checks = context.dispatcher._periodic_checks
    expire_at = checks.predecessor_leases.expire_at
    checks._drop_unseen_runners(expire_at - 0.1)
    assert cell.is_blocked(cell.job_by_id[JOB])
    checks._drop_unseen_runners(expire_at + 0.1)
    assert not cell.is_blocked(cell.job_by_id[JOB])


@given('the platform in three zones with {hosts:d} entry hosts and {runners:d} runners')
def start_zones(context, hosts, runners):
    start_hosts(context, hosts, BLOCK, runners=runners, zones=ZONES)
    wait_for(context.hosts.owner)


@when('{count:d} jobs of 2 tasks run, and {zone} is lost for good')
def lose_zone(context, count, zone):
    for job in range(1, count + 1):
        submit_job(context, job, make_job(cpu=1500, seconds=4.0, count=2))
    wait_for(lambda: len(context.platform.runs) == 2 * count)
    platform, hosts = context.platform, context.hosts
    owner_zone = hosts.zone_by_name[hosts.owner()]
    lost = owner_zone if zone == "the owner's zone" else other_zone(owner_zone)
    context.lost_at = context.platform.lose_zone(lost)
    for name in [name for name in hosts.names if hosts.zone_by_name[name] == lost]:
        hosts.kill(name)
        hosts.names.remove(name)
        hosts.process_by_name.pop(name)
    context.lost_tasks = {
        run.task
        for run in platform.collect_runs()
        if run.outcome == 'crashed' and run.ended >= context.lost_at
    }
    assert context.lost_tasks


def other_zone(zone):
    return next(other for other in ZONES if other != zone)


@then('the tasks that ran there run again in other zones within {seconds:g} s')
def check_run_again(context, seconds):
    def rerun():
        runs = context.platform.collect_runs()
        return {run.task for run in runs if run.began > context.lost_at}

    wait_for(lambda: context.lost_tasks <= rerun())
    runs = context.platform.collect_runs()
    latest = max(run.began for run in runs if run.task in context.lost_tasks)
    assert latest - context.lost_at <= seconds, latest - context.lost_at
