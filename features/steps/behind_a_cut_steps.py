"""Steps on jobs of an availability zone that is cut off."""

import curio
from behave import given, then, when

from dandelionreel.cell.clients._partition_reads import PartitionReads
from dandelionreel.cell.decisions._job_completeness import is_job_complete
from dandelionreel.cell.membership._claim_order import follows_runner_list
from dandelionreel.cell.membership._completion_handler import CompletionMessageHandler
from dandelionreel.cell.membership._completion_reports import CompletionReporter
from dandelionreel.cell.membership._completions import Completions
from dandelionreel.cell.model import EndedRun, JobSpec, RunnerView, RunOutcome, Submission
from dandelionreel.cell.model._model import JobState
from dandelionreel.cell.model._records import (
    MEMBER_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    SUBMISSION_PREFIX,
    DoneTasks,
    Member,
    Owner,
    Progress,
    make_record,
)
from dandelionreel.cell.model._services import RunnerError, RunnerFenced
from dandelionreel.cell.owner._completion_gossip import CompletionGossip
from dandelionreel.cell.owner._runner_poller import RunnerPoller
from dandelionreel.cell.owner._zone_confirmation import ZoneConfirmation
from dandelionreel.cell.store._cell_state import CellState
from dandelionreel.cell.store._runner_projection import RunnerProjection
from dandelionreel.kernel import ManualClock, Verdict
from dandelionreel.peers import CompletionsSeen, CompletionsTold, Done, Frame, PeerError, Refused
from features.cell_parts import SmallCell, make_registration, step, task
from features.store_parts import journal, make_owner_context

JOB = '0123456789abcdef'
DONE_MASK_BY_NAME = {'both tasks': '3', 'the first': '1', 'no tasks': ''}


def make_end(index, step_number=0, outcome=RunOutcome.DONE):
    return EndedRun(1, task(JOB, index, step_number), 1, outcome, '')


LISTED_BY_NAME = {
    'nothing': (),
    "the gang's first as done": (make_end(0, 1),),
    "the gang's first as failed": (make_end(0, 1, RunOutcome.FAILED),),
    'the second and the gang': (make_end(1), make_end(2, 1)),
}


@given('a job of two tasks followed by a gang of three, with {stored} stored as done')
def make_tasks_and_gang(context, stored):
    context.spec = JobSpec('x', (step(count=2), step(count=3, gang=True, depends_on=(0,))))
    done = (DoneTasks(0, 0, DONE_MASK_BY_NAME[stored]),) if DONE_MASK_BY_NAME[stored] else ()
    context.progress = Progress(1, JobState.RUNNING, done)


@when('a runner of the zone lists {listed}')
def runner_lists(context, listed):
    context.ended = LISTED_BY_NAME[listed]


@given('a job {kind}, whose first tasks are listed as done')
def special_job(context, kind):
    steps = (step(long_running=kind == 'of long-running tasks'),)
    context.spec = JobSpec('x', steps, repeat_count=3 if kind == 'with a schedule' else 0)
    context.progress = Progress(1, JobState.RUNNING)
    context.ended = (make_end(0),)


@then('the job of the zone counts as {verdict}')
def job_verdict(context, verdict):
    found = is_job_complete(JOB, context.spec, context.progress, context.ended)
    assert found is (verdict == 'complete')


class FixedDetector:
    """A partition detector with a fixed answer."""

    def __init__(self, may_answer_reads):
        self.may_answer_reads = may_answer_reads


class RecordingRunner:
    """A runner that answers all polls in one way, and records their parameters."""

    def __init__(self, behaviour):
        self._behaviour = behaviour
        self.polls = []

    async def poll(self, epoch, acknowledged, lease_until, wait):
        """Record the poll, and answer or fail as configured."""
        self.polls.append((acknowledged, lease_until))
        if self._behaviour == 'does not answer about':
            raise RunnerError('no answer in time', Verdict.UNKNOWN)
        if self._behaviour == 'refuses a stale epoch for':
            raise RunnerFenced('w1')
        return RunnerView(0.0, (), (make_end(0),) if self._behaviour == 'lists as done' else ())

    async def close(self):
        """Do nothing: there is no connection."""


class ZonePeerLinks:
    """Links to the other host of the zone; ``meanwhile`` is called on each message to it."""

    def __init__(self, cut_off, meanwhile=bool):
        self._accepts = cut_off
        self._meanwhile = meanwhile

    async def request(self, member, message, timeout):
        """Accept the report if the other host is cut off as well."""
        assert message == CompletionsSeen((JOB,)), message
        self._meanwhile()
        return Frame(1, 'peer', 0, 0, Done() if self._accepts else Refused('is not cut off'))


@given('a host that is {where}, beside {peer}')
def zone_host(context, where, peer):
    context.completions = Completions(ManualClock(1000))
    context.detector = FixedDetector(where.startswith(('cut off with', 'queried')))
    meanwhile = bool
    if where.startswith('queried'):
        meanwhile = lambda: context.completions.list_for_owner(2)  # noqa: E731
    context.links = ZonePeerLinks(peer == 'a host that is cut off as well', meanwhile)
    context.cell_state = CellState()
    context.cell_state.apply([make_record(f'{MEMBER_PREFIX}me', Member('south', '127.0.0.1', 1))])
    if peer != 'no other host':
        context.cell_state.apply(
            [make_record(f'{MEMBER_PREFIX}peer', Member('south', '127.0.0.1', 2))]
        )


@given("a runner of its zone that {runner} the job's only task")
def zone_runner(context, runner):
    submission = Submission('urgent', 'desk', 0.0, JobSpec('x', (step(),)))
    progress = Progress(1, JobState.RUNNING, runners=('w1',))
    context.cell_state.apply(
        [
            make_record(SUBMISSION_PREFIX + JOB, submission),
            make_record(PROGRESS_PREFIX + JOB, progress),
        ]
    )
    clock = ManualClock(1000)
    runners = RunnerProjection(None, clock, journal())
    runners.registration_by_id = {
        'w1': make_registration('w1', zone='south'),
        'w2': make_registration('w2', zone='west'),
    }
    context.runner = RecordingRunner(runner)
    context.partition_reads = PartitionReads(
        'me',
        'south',
        context.cell_state,
        runners,
        context.detector,
        context.completions,
        context.links,
        lambda registration: context.runner,
        clock,
        journal(),
    )


@when('a client asks for the job')
def ask_for_job(context):
    context.is_shown_complete = curio.run(context.partition_reads.is_job_complete, JOB)


@when('{count:d} clients ask for the job within 0.1 s')
def many_clients_ask(context, count):
    async def ask_many():
        tasks = [
            await curio.spawn(context.partition_reads.is_job_complete, JOB) for _ in range(count)
        ]
        return [await client_task.join() for client_task in tasks]

    assert curio.run(ask_many) == [True] * count


@then('inside the partition it is told {state}')
def client_told_state(context, state):
    assert context.is_shown_complete is (state == 'completed'), context.is_shown_complete
    assert context.completions.contains(JOB) is context.is_shown_complete


@then('no lease was renewed and no end acknowledged')
def check_only_read(context):
    assert all(poll_args == (0, None) for poll_args in context.runner.polls), context.runner.polls


@then('the runner was polled once')
def polled_once(context):
    assert len(context.runner.polls) == 1, context.runner.polls


class OneHostLinks:
    """Links to the hosts of a zone, of which only the first may reply, with the jobs it knows."""

    def __init__(self, known):
        self._known = known
        self.request_count = 0

    async def request(self, member, message, timeout):
        """Reply for the first host, if it knows something."""
        self.request_count += 1
        if self._known is None or member.port != 0:
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        return Frame(1, 'peer', 0, 0, CompletionsTold(message.epoch, self._known))


@given('an owner whose runner in south has been silent for {silent:g} s')
def silent_runner(context, silent):
    context.clock = ManualClock(1000)
    context.small = SmallCell(runners=())
    context.small.now = 1000
    context.small.registration_by_id['w1'] = make_registration('w1', zone='south')
    context.small.update_runners()
    context.small.poll('w1')
    context.small.add_job(JOB, [step()])
    context.small.plan()
    context.owner = make_owner_context(context.small.cell, context.clock)
    context.state = context.small.cell.runner_by_id['w1']
    context.silent = silent


@when('south, with {count:d} hosts, {hosts}')
def south_replies(context, count, hosts):
    known = None
    if hosts.startswith('answers'):
        known = (JOB,) if 'complete' in hosts else ()
    context.zone = OneHostLinks(known)
    cell_state = CellState()
    for number in range(count):
        member = Member('south', '127.0.0.1', 1)
        cell_state.member_by_host[f's-{number}'] = member
    for number, host in enumerate(cell_state.member_by_host):
        cell_state.member_by_host[host] = SouthMember(number)
    gossip = CompletionGossip(
        context.owner, cell_state, context.zone, Completions(context.clock), 'me'
    )
    context.owner.confirm_zone_completions = ZoneConfirmation(
        context.owner, cell_state, gossip, 'me'
    ).has_reported_completions
    context.clock.advance(context.silent)
    times = 20 if hosts.endswith('times within 0.2 s') else 1

    async def hear():
        for _ in range(times):
            await RunnerPoller(context.owner)._expire_runner_leases(context.state)
            context.clock.advance(0.2 / times)

    curio.run(hear)


class SouthMember:
    """A member in south that is identified by its port."""

    zone = 'south'
    cores = 1.0
    address = '127.0.0.1'

    def __init__(self, port):
        self.port = port


@then('the run inside the partition {fate}')
def check_runs(context, fate):
    is_kept = fate == 'is waited for'
    assert bool(context.state.allocation_by_run) is is_kept, context.state.allocation_by_run
    job = context.small.cell.job_by_id[JOB]
    complete = fate.endswith('its job as complete')
    assert (job.state is JobState.COMPLETED) is complete, job.state
    if not is_kept:
        assert bool(job.ready_steps(0)) is True and job.is_finished is complete


@then('{count:d} queries were sent to the zone')
def zone_query_count(context, count):
    assert context.zone.request_count == count, context.zone.request_count


@given('{count:d} hosts in north and {small_count:d} smaller ones in south')
def two_zones(context, count, small_count):
    context.members = {f'n-{n:02}': Member('north', '127.0.0.1', 1) for n in range(1, count + 1)}
    for number in range(1, small_count + 1):
        context.members[f's-{number:02}'] = Member('south', '127.0.0.1', 1, cores=0.5)


@then('host {number:d} of {zone} follows the runner list: {follows}')
def follows_list(context, number, zone, follows):
    found = follows_runner_list(context.members, f'{zone[0]}-{number:02}')
    assert found is (follows == 'yes')


class OwnerLinks:
    """Links to the owner, which counts the reports."""

    def __init__(self, answers):
        self._answers = answers
        self.reports = 0

    async def request(self, member, message, timeout):
        """Accept the report or time out."""
        assert message == CompletionsSeen((JOB,)), message
        assert member.port == 9, member
        self.reports += 1
        if not self._answers:
            raise PeerError('no answer in time', Verdict.UNKNOWN)
        return Frame(1, 'owner', 0, 0, Done())


@when("the partition heals, the owner {answers}, and the store {shows} the job's end")
def cut_heals(context, answers, shows):
    owner = {'is not known': None, 'is the host itself': 'me'}.get(answers, 'owner')
    records = [make_record(f'{MEMBER_PREFIX}owner', Member('north', '127.0.0.1', 9))]
    if owner is not None:
        records.append(make_record(OWNER_KEY, Owner(2, owner, f'{owner}/1')))
    if shows == 'already shows':
        records.append(make_record(PROGRESS_PREFIX + JOB, Progress(2, JobState.COMPLETED)))
    context.cell_state.apply(records)
    clock = context.completions._clock
    context.links = OwnerLinks(answers == 'accepts the report')
    reports = CompletionReporter(
        'me', context.cell_state, context.links, context.completions, clock, journal()
    )

    async def report():
        for _ in range(20):
            await reports.send_due_reports()
            clock.advance(0.1)

    curio.run(report)


@then('the job is reported {times:d} times within 2 seconds')
def reported_times(context, times):
    assert context.links.reports == times, context.links.reports


@given('a host that owns the cell')
@given('a host that owns the cell inside the same partition')
@given('a host that is inside the same partition')
@given('a host that is neither the owner nor cut off')
def reported_host(context):
    context.completions = Completions(ManualClock(1000))
    context.owns = 'owns' in context.scenario.steps[0].name
    context.cut_off = 'inside' in context.scenario.steps[0].name
    context.small = SmallCell()
    context.job = context.small.add_job(JOB, [step()])


@when('a peer reports the job as complete inside a partition')
def peer_reports(context):
    async def complete_at_owner(jobs):
        if context.owns:
            context.small.cell.mark_jobs_complete(jobs)
        return context.owns

    answers = CompletionMessageHandler(
        context.completions, FixedDetector(context.cut_off), complete_at_owner
    )
    frame = Frame(1, 'peer', 0, 0, CompletionsSeen((JOB,)))
    context.answer = curio.run(answers.merge_zone_completions, frame)


@then('the host {answer} the report, {knows} and {tells} it to a later owner')
def host_answers(context, answer, knows, tells):
    assert isinstance(context.answer, Done) is (answer == 'accepts'), context.answer
    complete = context.job.state is JobState.COMPLETED
    assert complete is (knows == 'marks the job as complete'), context.job.state
    assert (JOB in context.completions.list_for_owner(3)) is (tells == 'tells')
